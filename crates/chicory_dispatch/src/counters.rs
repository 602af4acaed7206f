//! Counters of the request path.

use std::collections::BTreeMap;

use crate::{Outcome, RefusalReason};

/// Counters of the request path; they never decrease.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Counters {
    /// Requests received from callers.
    pub from_callers: u64,
    /// Requests relayed by other entry processes.
    pub from_relays: u64,
    /// Times that a request was sent to a backend server.
    pub writes: u64,
    /// Times that a request was relayed to another entry process.
    pub relays: u64,
    /// Answers that this process started to forward.
    pub forwarded: u64,
    /// Answers forwarded completely.
    pub finished: u64,
    /// Answers that failed after this process had started to forward them.
    pub broken_answers: u64,
    /// Answers with the request id of another request.
    pub mismatched_answers: u64,
    /// Orders answered with the stored answer of an earlier run.
    pub stored_answers: u64,
    /// Refused requests, by reason and outcome.
    pub refusals: BTreeMap<(RefusalReason, Outcome), u64>,
    /// Retries: second and later tries of a request.
    pub retries: u64,
    /// Retries that the retry budget did not allow.
    pub retries_denied: u64,
    /// Claims sent.
    pub claims: u64,
    /// Connections that were requested.
    pub connects: u64,
    /// Connections closed because they were unresponsive.
    pub silent_connections: u64,
    /// Probes sent.
    pub probes: u64,
    /// Times that a probe found a server down.
    pub servers_down: u64,
    /// Times that a server was ejected.
    pub ejections: u64,
    /// Crashes of servers with requests in flight.
    pub crashes: u64,
    /// Renewals sent.
    pub renewals: u64,
    /// Times that the lease ended without a renewal.
    pub lease_ends: u64,
    /// Announcements refused.
    pub announcements_refused: u64,
}

impl Counters {
    /// Returns the number of refusals for `reason`, over all outcomes.
    #[must_use]
    pub fn refused(&self, reason: RefusalReason) -> u64 {
        self.refusals
            .iter()
            .filter(|((counted, _), _)| *counted == reason)
            .map(|(_, count)| count)
            .sum()
    }

    pub(crate) fn count_refusal(&mut self, reason: RefusalReason, outcome: Outcome) {
        *self.refusals.entry((reason, outcome)).or_default() += 1;
    }
}
