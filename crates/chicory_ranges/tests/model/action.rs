//! One step of the model.

use chicory_ranges::Key;

use super::{AddressIndex, ProcessIndex};

/// Position of a call among those that have not ended.
pub type CallIndex = usize;

/// One step of the model.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Action {
    /// A call arrives, takes effect and is answered at once.
    Exchange(CallIndex),
    /// A call arrives at whichever process has the address, and takes effect later.
    Arrive(CallIndex),
    /// A call that arrived takes effect.
    Apply(CallIndex),
    /// The answer to a call that took effect reaches its sender.
    Answer(CallIndex),
    /// The connection of a call breaks; a call that arrived may still take effect.
    Break(CallIndex),
    /// The process at an address ends.
    End(AddressIndex),
    /// Another process starts at an address.
    Start(AddressIndex, Successor),
    /// An announcement of a process reaches the leader, perhaps after the process has ended.
    Hear(ProcessIndex),
    /// The planner requests another owner.
    Transfer {
        /// First key of the range.
        first: Key,
        /// The next owner.
        to: ProcessIndex,
    },
    /// The oldest move that was proposed is committed.
    Commit,
    /// The oldest move that was proposed fails.
    FailMove,
    /// Another leader, which knows only the registry, takes over; calls of the former one are
    /// under way up to their timeout.
    ChangeLeader,
    /// Time passes; calls that reach their timeout meanwhile end without an answer.
    Pass(TimeStep),
}

/// How a process differs from the former one at its address.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Successor {
    /// Another server, with a later start.
    OtherServer,
    /// Another server whose clock states the start of the former one.
    OtherServerSameStart,
    /// The same server, with a later start.
    SameServer,
}

/// How much time passes at once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TimeStep {
    /// The time limit of a grant call.
    CallTimeout,
    /// The time between two renewals.
    RenewalInterval,
    /// The time after which a grant that was answered now has expired.
    GrantExpiry,
    /// The same less the time limit of a grant call.
    GrantExpiryAfterTimeout,
}

impl TimeStep {
    /// All steps.
    pub const ALL: [Self; 4] = [
        Self::CallTimeout,
        Self::RenewalInterval,
        Self::GrantExpiryAfterTimeout,
        Self::GrantExpiry,
    ];
}
