//! Who sends requests to a backend server.

/// Who sends requests to a server.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) enum Dispatch {
    /// Nobody at the moment.
    #[default]
    Nobody,
    /// This process.
    Own,
    /// Another process of the zone.
    Other,
}
