//! Whether the process accepts new requests.

use chicory_types::MonoTime;

/// Whether the process accepts new requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum RunState {
    /// It accepts new requests.
    Running,
    /// A stop was requested at this time; only accepted requests are finished.
    Stopping(MonoTime),
    /// [`Effect::Stopped`](crate::Effect::Stopped) was returned, so the process may exit.
    Stopped,
}
