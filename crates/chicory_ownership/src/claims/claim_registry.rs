//! Registry of all order claims of one availability zone.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use chicory_types::{Incarnation, OrderKey, ServiceName, SlotRun, VmId, slot_of_key};

use crate::{
    ClaimAnswer, ClaimRecord, ClaimRequest, ClaimResolution, ClaimState, Claimant, StoredAnswer,
};

/// How long a claim is kept after it was granted. Callers must not resend an order after this time.
pub const CLAIM_RETENTION: Duration = Duration::from_hours(12);
/// How long a claim may stay in progress before its outcome becomes unknown. It exceeds the longest
/// deadline that the table allows.
pub const CLAIM_IN_PROGRESS_LIMIT: Duration = Duration::from_mins(11);
/// Maximum number of claims of one availability zone.
pub const MAX_CLAIMS: usize = 20_000;
/// Maximum total size of the stored answer bodies of one availability zone, in bytes. Answers
/// beyond it are stored without their bodies.
pub const MAX_STORED_BODY_BYTES: usize = 4 * 1_024 * 1_024;

type ClaimKey = (ServiceName, OrderKey);

/// Registry of all order claims of one availability zone.
///
/// A claim is granted to one attempt of one process. Another attempt gets it only once the first
/// attempt is known not to have run. If the claimant is lost, the outcome of the claim stays
/// unknown until the claim expires or the claimant reports the outcome after all.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ClaimRegistry {
    claims: BTreeMap<ClaimKey, ClaimRecord>,
    /// Claims ordered by the time at which they were granted, which is also the order of expiry.
    by_age: BTreeSet<(u64, ClaimKey)>,
    body_bytes: usize,
}

impl ClaimRegistry {
    /// Grants or refuses a claim at log clock `at_ms`.
    ///
    /// The calling code must check first that the zone has custody of the slot.
    pub fn claim(&mut self, request: &ClaimRequest, at_ms: u64) -> ClaimAnswer {
        let key = (request.service.clone(), request.order_key.clone());
        let Some(known) = self.claims.get(&key) else {
            return self.grant_new(key, request, at_ms);
        };
        if matches!(known.state, ClaimState::NotRun) {
            return self.grant_again(key, request, at_ms);
        }
        if known.fingerprint != request.fingerprint {
            return ClaimAnswer::KeyReused;
        }
        match &known.state {
            ClaimState::InProgress if known.claimant == request.claimant => ClaimAnswer::Granted,
            ClaimState::InProgress => ClaimAnswer::InProgress,
            ClaimState::Answered(answer) => ClaimAnswer::Stored(answer.clone()),
            ClaimState::Unknown | ClaimState::NotRun => ClaimAnswer::Unknown,
        }
    }

    /// Records how a claimed order ended, if the claimant itself reports it.
    ///
    /// Returns whether the claim belongs to `claimant`.
    pub fn resolve(
        &mut self,
        service: &ServiceName,
        order_key: &OrderKey,
        claimant: &Claimant,
        resolution: &ClaimResolution,
    ) -> bool {
        let key = (service.clone(), order_key.clone());
        let Some(claim) = self.claims.get_mut(&key) else {
            return false;
        };
        let is_open = matches!(claim.state, ClaimState::InProgress | ClaimState::Unknown);
        if claim.claimant != *claimant {
            return false;
        }
        if !is_open {
            return true;
        }
        claim.state = match resolution {
            ClaimResolution::Answered(answer) => {
                ClaimState::Answered(with_bounded_body(answer, &mut self.body_bytes))
            }
            ClaimResolution::NotRun => ClaimState::NotRun,
            ClaimResolution::Unknown => ClaimState::Unknown,
        };
        true
    }

    /// Sets the claims in progress of a lost process to unknown.
    pub fn abandon(&mut self, vm: &VmId, incarnation: Incarnation) {
        for claim in self.claims.values_mut() {
            let is_of_process =
                claim.claimant.vm == *vm && claim.claimant.incarnation == incarnation;
            if is_of_process && claim.state == ClaimState::InProgress {
                claim.state = ClaimState::Unknown;
            }
        }
    }

    /// Drops claims older than [`CLAIM_RETENTION`], and sets claims that have been in progress for
    /// [`CLAIM_IN_PROGRESS_LIMIT`] to unknown.
    pub fn expire(&mut self, at_ms: u64) {
        let progress_limit_ms = millis(CLAIM_IN_PROGRESS_LIMIT);
        while let Some((claimed_at_ms, key)) = self.by_age.first().cloned() {
            if claimed_at_ms + millis(CLAIM_RETENTION) > at_ms {
                break;
            }
            self.by_age.pop_first();
            if let Some(claim) = self.claims.remove(&key) {
                self.body_bytes -= body_len(&claim.state);
            }
        }
        for claim in self.claims.values_mut() {
            let is_late = claim.claimed_at_ms + progress_limit_ms <= at_ms;
            if is_late && claim.state == ClaimState::InProgress {
                claim.state = ClaimState::Unknown;
            }
        }
    }

    /// Returns whether [`expire`](Self::expire) would change anything at log clock `at_ms`.
    #[must_use]
    pub fn has_expired(&self, at_ms: u64) -> bool {
        let oldest_is_due = |(at, _): &(u64, ClaimKey)| at + millis(CLAIM_RETENTION) <= at_ms;
        let is_late = |claim: &ClaimRecord| {
            claim.state == ClaimState::InProgress
                && claim.claimed_at_ms + millis(CLAIM_IN_PROGRESS_LIMIT) <= at_ms
        };
        self.by_age.first().is_some_and(oldest_is_due) || self.claims.values().any(is_late)
    }

    /// Returns the processes with claims in progress.
    #[must_use]
    pub fn open_claimants(&self) -> Vec<(VmId, Incarnation)> {
        let open = self
            .claims
            .values()
            .filter(|claim| claim.state == ClaimState::InProgress);
        let claimants: BTreeSet<(VmId, Incarnation)> = open
            .map(|claim| (claim.claimant.vm.clone(), claim.claimant.incarnation))
            .collect();
        claimants.into_iter().collect()
    }

    /// Returns whether an order of the slots is in progress.
    #[must_use]
    pub fn is_running(&self, service: &ServiceName, run: SlotRun) -> bool {
        let mut claims = self.claims.values();
        claims.any(|claim| is_in_run(claim, service, run) && claim.state == ClaimState::InProgress)
    }

    /// Drops the claims of slots whose custody the zone lost.
    pub fn drop_slots(&mut self, service: &ServiceName, run: SlotRun) {
        let claims = self.claims.values().filter(|c| is_in_run(c, service, run));
        let dropped: Vec<ClaimRecord> = claims.cloned().collect();
        for claim in dropped {
            let key = (claim.service, claim.order_key);
            self.body_bytes -= body_len(&claim.state);
            self.by_age.remove(&(claim.claimed_at_ms, key.clone()));
            self.claims.remove(&key);
        }
    }

    /// Returns the claims of slots that move to another zone.
    ///
    /// `claimed_at_ms` holds the age of each claim, because the log clocks of zones are unrelated.
    /// Claims in progress are exported as unknown.
    #[must_use]
    pub fn export(&self, service: &ServiceName, run: SlotRun, at_ms: u64) -> Vec<ClaimRecord> {
        let claims = self
            .claims
            .values()
            .filter(|claim| is_in_run(claim, service, run));
        claims
            .map(|claim| {
                let mut claim = claim.clone();
                claim.claimed_at_ms = at_ms.saturating_sub(claim.claimed_at_ms);
                if claim.state == ClaimState::InProgress {
                    claim.state = ClaimState::Unknown;
                }
                claim
            })
            .collect()
    }

    /// Adds claims that another zone exported.
    ///
    /// [`MAX_CLAIMS`] does not apply here, because a granted claim must not be dropped.
    pub fn import(&mut self, claims: &[ClaimRecord], at_ms: u64) {
        for claim in claims {
            let mut claim = claim.clone();
            claim.claimed_at_ms = at_ms.saturating_sub(claim.claimed_at_ms);
            self.insert(claim);
        }
    }

    /// Iterates over all claims.
    pub fn claims(&self) -> impl Iterator<Item = &ClaimRecord> {
        self.claims.values()
    }

    /// Returns the number of claims.
    #[must_use]
    pub fn len(&self) -> usize {
        self.claims.len()
    }

    /// Returns whether there are no claims.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.claims.is_empty()
    }

    /// Restores a registry from its claims.
    #[must_use]
    pub fn restore(claims: Vec<ClaimRecord>) -> Self {
        let mut registry = Self::default();
        for claim in claims {
            registry.insert(claim);
        }
        registry
    }

    fn grant_new(&mut self, key: ClaimKey, request: &ClaimRequest, at_ms: u64) -> ClaimAnswer {
        if self.claims.len() >= MAX_CLAIMS {
            return ClaimAnswer::Full;
        }
        self.insert_granted(key, request, at_ms);
        ClaimAnswer::Granted
    }

    fn grant_again(&mut self, key: ClaimKey, request: &ClaimRequest, at_ms: u64) -> ClaimAnswer {
        let Some(known) = self.claims.get(&key) else {
            return ClaimAnswer::Unknown;
        };
        // This attempt already reported that it did not run. A delayed copy of its request must not
        // claim the order again.
        if known.claimant == request.claimant {
            return ClaimAnswer::Unknown;
        }
        self.by_age.remove(&(known.claimed_at_ms, key.clone()));
        self.insert_granted(key, request, at_ms);
        ClaimAnswer::Granted
    }

    fn insert_granted(&mut self, key: ClaimKey, request: &ClaimRequest, at_ms: u64) {
        self.insert(ClaimRecord {
            service: key.0,
            order_key: key.1,
            fingerprint: request.fingerprint,
            claimant: request.claimant.clone(),
            state: ClaimState::InProgress,
            claimed_at_ms: at_ms,
        });
    }

    fn insert(&mut self, claim: ClaimRecord) {
        let key = (claim.service.clone(), claim.order_key.clone());
        self.body_bytes += body_len(&claim.state);
        self.by_age.insert((claim.claimed_at_ms, key.clone()));
        if let Some(old) = self.claims.insert(key.clone(), claim) {
            self.body_bytes -= body_len(&old.state);
            let is_same_age = self.claims[&key].claimed_at_ms == old.claimed_at_ms;
            if !is_same_age {
                self.by_age.remove(&(old.claimed_at_ms, key));
            }
        }
    }
}

fn with_bounded_body(answer: &StoredAnswer, body_bytes: &mut usize) -> StoredAnswer {
    let mut kept = answer.clone();
    let len = kept.body.as_ref().map_or(0, Vec::len);
    if *body_bytes + len > MAX_STORED_BODY_BYTES {
        kept.body = None;
        return kept;
    }
    *body_bytes += len;
    kept
}

fn body_len(state: &ClaimState) -> usize {
    match state {
        ClaimState::Answered(answer) => answer.body.as_ref().map_or(0, Vec::len),
        _ => 0,
    }
}

fn is_in_run(claim: &ClaimRecord, service: &ServiceName, run: SlotRun) -> bool {
    claim.service == *service && run.contains(slot_of_key(&claim.order_key))
}

/// Returns the whole milliseconds of a duration.
pub(crate) fn millis(span: Duration) -> u64 {
    u64::try_from(span.as_millis()).unwrap_or(u64::MAX)
}
