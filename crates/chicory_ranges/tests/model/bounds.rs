//! Bounds of an exploration.

use super::{AddressIndex, Successor};

/// Bounds of an exploration.
#[derive(Clone, Debug)]
pub struct Bounds {
    /// Largest number of steps from the start.
    pub step_count: u32,
    /// Number of ranges, one or two.
    pub range_count: u16,
    /// Number of addresses, from the first one on, at which processes may end.
    pub restart_address_count: AddressIndex,
    /// Number of processes that may start after another one at their address has ended.
    pub restart_count: u32,
    /// Kinds of those processes.
    pub successors: &'static [Successor],
    /// Start time that the first processes state.
    pub first_start_ms: u64,
    /// Number of changes of the leader.
    pub leader_change_count: u32,
    /// Number of transfers that the planner requests.
    pub transfer_count: u32,
    /// Whether moves are committed in a step of their own instead of at once.
    pub has_slow_commits: bool,
    /// Number of steps in which time passes.
    pub time_step_count: u32,
}
