//! A dispatcher role that this process has resigned.

/// A dispatcher role that this process has resigned.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Resignation {
    /// Dispatcher epoch of the role.
    pub(crate) epoch: u64,
    /// Whether the zone group has acknowledged the resignation.
    pub(crate) is_acknowledged: bool,
}
