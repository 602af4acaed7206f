//! Roles of a replica.

/// Role of a replica in its group.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// Receives the log, but is not a voter in the membership that it knows.
    Learner,
    /// Voter that follows a leader, or waits for one.
    Follower,
    /// Asks whether it could win an election, without raising its term.
    PreCandidate,
    /// Stands for election in a new term.
    Candidate,
    /// Appends entries and decides what is committed.
    Leader,
}
