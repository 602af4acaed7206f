//! A request that broke with its connection.

use chicory_types::MonoTime;

/// A request that broke with its connection.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ConnectionBreak {
    pub(crate) fingerprint: u64,
    pub(crate) at: MonoTime,
    /// Whether it was the only one in flight.
    pub(crate) was_alone: bool,
}
