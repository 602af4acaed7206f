//! Roles of a replica.

/// Role of a replica in its group.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// Receives and not counted: not a voter of the membership that it knows.
    Learner,
    /// Voter that follows a leader, or waits for one.
    Follower,
    /// Asks whether an election could be won, without raising its term.
    PreCandidate,
    /// Stands for election in a new term.
    Candidate,
    /// Appends entries and decides what is committed.
    Leader,
}
