//! The location of the dispatcher of a backend server.

/// The location of a server's dispatcher, the only process that sends it requests.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) enum DispatcherLocation {
    /// The server has no dispatcher at the moment.
    #[default]
    Unassigned,
    /// This process is the dispatcher.
    Local,
    /// Another process of the zone is the dispatcher.
    Remote,
}
