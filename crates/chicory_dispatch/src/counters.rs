//! Counters of the request path.

use std::collections::BTreeMap;

use crate::{Outcome, RefusalReason};

/// Counters of the request path; each only grows.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Counters {
    /// Requests that came in from callers.
    pub from_callers: u64,
    /// Requests that came in from other entry processes.
    pub from_relays: u64,
    /// Requests sent to a backend server.
    pub writes: u64,
    /// Requests relayed to another entry process.
    pub relays: u64,
    /// Answers passed on from the start.
    pub forwarded: u64,
    /// Answers completed.
    pub finished: u64,
    /// Answers broken after they had started.
    pub broken_answers: u64,
    /// Answers of other requests.
    pub mismatched_answers: u64,
    /// Stored answers of orders.
    pub stored_answers: u64,
    /// Refusals by reason and outcome.
    pub refusals: BTreeMap<(RefusalReason, Outcome), u64>,
    /// Second and later tries.
    pub retries: u64,
    /// Tries that the retry budget did not allow.
    pub retries_denied: u64,
    /// Claims sent.
    pub claims: u64,
    /// Connections asked for.
    pub connects: u64,
    /// Connections closed since they were silent.
    pub silent_connections: u64,
    /// Probes sent.
    pub probes: u64,
    /// Servers found down.
    pub servers_down: u64,
    /// Servers ejected.
    pub ejections: u64,
    /// Crashes of servers with requests in flight.
    pub crashes: u64,
    /// Renewals sent.
    pub renewals: u64,
    /// Times that the lease ended without renewal.
    pub lease_ends: u64,
    /// Announcements refused.
    pub announcements_refused: u64,
}

impl Counters {
    /// Refusals for `reason`, whatever their outcome.
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
