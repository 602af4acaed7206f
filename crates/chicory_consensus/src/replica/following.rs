//! Handling of the leader's messages by a follower or learner.

use chicory_types::{ClockRateMargin, LogIndex, Term};

use super::Replica;
use crate::{AppendOutcome, Entry, MemberId, PeerMessageBody};

impl Replica {
    /// Accepts `from` as the leader of `term`. Returns `false` if `term` is older than the current
    /// one.
    pub(super) fn accept_leader(&mut self, from: &MemberId, term: Term) -> bool {
        if term < self.hard_state.term {
            return false;
        }
        self.step_down();
        self.set_term(term);
        if self.leader.as_ref() != Some(from) {
            self.leader = Some(from.clone());
            self.named_leaders.clear();
        }
        self.refuse_votes_until =
            ClockRateMargin::lease_expiry_for_grantor(self.now, self.config.leader_lease);
        self.reset_election_deadline();
        true
    }

    pub(super) fn on_append(&mut self, from: &MemberId, body: PeerMessageBody) {
        let PeerMessageBody::Append {
            term,
            prev_index,
            prev_term,
            entries,
            commit_index,
            sent_at,
        } = body
        else {
            return;
        };
        if !is_well_formed(term, prev_index, prev_term, &entries) {
            return;
        }
        let outcome = if self.accept_leader(from, term) {
            self.advertised_commit_index = self.advertised_commit_index.max(commit_index);
            self.accept_entries(prev_index, prev_term, entries, commit_index)
        } else {
            AppendOutcome::Conflict {
                prev_index,
                hint_index: self.log.last_index(),
            }
        };
        let response = PeerMessageBody::AppendResponse {
            term: self.hard_state.term,
            sent_at,
            outcome,
        };
        self.send_when_durable(from, response);
    }

    fn accept_entries(
        &mut self,
        prev_index: LogIndex,
        prev_term: Term,
        entries: Vec<Entry>,
        leader_commit_index: LogIndex,
    ) -> AppendOutcome {
        let is_compacted = prev_index < self.log.base_index();
        let has_no_membership = self.log.membership().is_none();
        if has_no_membership || !is_compacted && self.log.term_at(prev_index) != Some(prev_term) {
            return AppendOutcome::Conflict {
                prev_index,
                hint_index: self.conflict_hint(prev_index),
            };
        }
        let index = prev_index + entries.len() as LogIndex;
        for entry in entries {
            self.accept_entry(entry);
        }
        self.commit_index = self.commit_index.max(leader_commit_index.min(index));
        AppendOutcome::Matched { index }
    }

    /// Appends an entry that is missing, after removing entries that conflict with it. An entry
    /// that is already present or compacted changes nothing.
    fn accept_entry(&mut self, entry: Entry) {
        if entry.index <= self.log.base_index() {
            return;
        }
        match self.log.term_at(entry.index) {
            Some(term) if term == entry.term => return,
            Some(_) => self.truncate_from(entry.index),
            None => {}
        }
        self.append_entry(entry);
    }

    fn truncate_from(&mut self, index: LogIndex) {
        self.log.truncate_from(index);
        self.persist_queue.truncate_from(index);
    }

    /// Returns the greatest index before `prev_index` at which the logs may match. Skips all
    /// entries of the conflicting term, but no committed ones.
    fn conflict_hint(&self, prev_index: LogIndex) -> LogIndex {
        let last_index = self.log.last_index();
        if prev_index > last_index {
            return last_index;
        }
        let conflicting = self.log.term_at(prev_index);
        let mut hint = prev_index.saturating_sub(1);
        while hint > self.commit_index && self.log.term_at(hint) == conflicting {
            hint -= 1;
        }
        hint
    }

    /// Appends an entry. A membership in it takes effect at once, and a replica that was already a
    /// learner may vote again.
    pub(super) fn append_entry(&mut self, entry: Entry) {
        let was_learner = self.membership().learners.contains(&self.config.member);
        self.log.append(entry);
        self.is_voting_disabled &= !was_learner;
    }
}

fn is_well_formed(term: Term, prev_index: LogIndex, prev_term: Term, entries: &[Entry]) -> bool {
    let is_in_range = prev_index < LogIndex::MAX - entries.len() as LogIndex;
    if !is_in_range || prev_term > term {
        return false;
    }
    let mut last = (prev_index, prev_term);
    entries.iter().all(|entry| {
        let follows = entry.index == last.0 + 1 && entry.term >= last.1;
        last = (entry.index, entry.term);
        follows && entry.term <= term
    })
}
