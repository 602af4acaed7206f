//! The fenced grants that a backend server holds.

use std::time::{Duration, Instant};

use chicory_types::{ClockRateMargin, FencingToken, Slot};

use super::{AnnounceAnswer, GrantMessage};

/// Whether a request may run under the server's grants.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// Its slot is granted with this token, and the lease holds.
    Granted,
    /// Its slot isn't granted, its token isn't the granted one, or the lease ended.
    Refused,
}

/// A change of the grants, for the history.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum GrantChange {
    /// Slots were granted.
    Granted(GrantMessage),
    /// Slots were revoked.
    Revoked(GrantMessage),
    /// The lease was renewed until this time.
    Renewed(Instant),
    /// The lease ended at this time and all grants are void.
    Expired(Instant),
}

/// The fenced grants that a backend server holds.
#[derive(Debug)]
pub struct Grants {
    origin: Instant,
    version: u64,
    slot_runs: Vec<GrantMessage>,
    lease_end: Option<Instant>,
    lost_at: Instant,
}

impl Grants {
    /// Creates an empty set; `origin` must not be after any time passed in later.
    #[must_use]
    pub fn new(origin: Instant) -> Self {
        Self {
            origin,
            version: 0,
            slot_runs: Vec::new(),
            lease_end: None,
            lost_at: origin,
        }
    }

    /// Returns the version of the grants; 0 for none.
    #[must_use]
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Returns the end of the lease, if there is one.
    #[must_use]
    pub fn lease_end(&self) -> Option<Instant> {
        self.lease_end
    }

    /// Returns when grants were last lost: at the end of the lease, or when a new set of grants
    /// replaced them.
    #[must_use]
    pub fn lost_at(&self) -> Instant {
        self.lost_at
    }

    /// Voids the grants if their lease has ended.
    pub fn expire(&mut self, now: Instant) -> Option<GrantChange> {
        let end = self.lease_end.filter(|end| *end <= now)?;
        self.lease_end = None;
        self.lost_at = end;
        self.version = 0;
        self.slot_runs.clear();
        Some(GrantChange::Expired(end))
    }

    /// Applies the answer to an announcement sent at `sent_at`.
    pub fn apply(
        &mut self,
        sent_at: Instant,
        now: Instant,
        answer: &AnnounceAnswer,
    ) -> Vec<GrantChange> {
        let mut changes = Vec::from_iter(self.expire(now));
        let end = self.holder_end(sent_at, Duration::from_millis(answer.lease_ms));
        let is_known = answer.grants.is_some() || answer.grants_version == self.version;
        if end <= now || !is_known {
            return changes;
        }
        self.lease_end = Some(self.lease_end.map_or(end, |known| known.max(end)));
        changes.extend(self.lease_end.map(GrantChange::Renewed));
        if let Some(grants) = &answer.grants {
            changes.extend(self.replace(now, grants));
            self.version = answer.grants_version;
        }
        changes
    }

    /// Returns whether a request for `slot` with `token` may run at `now`.
    #[must_use]
    pub fn admit(&self, now: Instant, slot: Slot, token: FencingToken) -> Admission {
        let holds = self.lease_end.is_some_and(|end| now < end);
        let is_granted = self.slot_runs.iter().any(|run| {
            (run.first..=run.last).contains(&slot) && FencingToken::parse(&run.token) == Some(token)
        });
        if holds && is_granted {
            Admission::Granted
        } else {
            Admission::Refused
        }
    }

    fn replace(&mut self, now: Instant, grants: &[GrantMessage]) -> Vec<GrantChange> {
        let revoked = self.slot_runs.iter().filter(|run| !grants.contains(run));
        let granted = grants.iter().filter(|run| !self.slot_runs.contains(run));
        let changes = revoked
            .cloned()
            .map(GrantChange::Revoked)
            .chain(granted.cloned().map(GrantChange::Granted))
            .collect();
        self.slot_runs = grants.to_vec();
        self.lost_at = now;
        changes
    }

    fn holder_end(&self, sent_at: Instant, lease: Duration) -> Instant {
        let sent_at = sent_at.saturating_duration_since(self.origin);
        self.origin + ClockRateMargin::lease_expiry_for_holder(sent_at, lease)
    }
}
