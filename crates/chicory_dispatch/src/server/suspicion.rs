//! Why a backend server is being probed.

use chicory_types::MonoTime;

/// Why a server is being probed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Suspicion {
    /// An exchange has been silent since then.
    Silent(MonoTime),
    /// An exchange broke before its answer.
    Broken,
    /// It missed its announcements.
    Unannounced,
}
