//! A fake zone group, which grants leases, keeps claims, and sends changes of the view.

use std::collections::BTreeMap;
use std::time::Duration;

use chicory_ownership::{
    ClaimAnswer, ClaimRequest, ClaimResolution, Claimant, RenewAnswer, RenewRequest, StoredAnswer,
    ViewChange, ViewUpdate,
};

use super::fixtures::ms;

/// The state of one order key, in the naive implementation of at-most-once against which the
/// request path is tested.
#[derive(Clone, Debug)]
enum Claim {
    Held(Claimant, u64),
    Stored(StoredAnswer, u64),
    Unknown(u64),
}

/// A fake zone group of one member.
#[derive(Debug)]
pub struct FakeGroup {
    pub is_reachable: bool,
    pub answers_claims: bool,
    pub lease: Duration,
    pub version: u64,
    pub pending: Vec<ViewChange>,
    pub renewals: Vec<RenewRequest>,
    claims: BTreeMap<String, Claim>,
}

impl FakeGroup {
    pub fn new(view: Vec<ViewChange>) -> Self {
        Self {
            is_reachable: true,
            answers_claims: true,
            lease: ms(2_200),
            version: 0,
            pending: view,
            renewals: Vec::new(),
            claims: BTreeMap::new(),
        }
    }

    pub fn renew(&mut self, request: RenewRequest) -> RenewAnswer {
        self.renewals.push(request);
        let changes = std::mem::take(&mut self.pending);
        self.version += u64::from(!changes.is_empty());
        RenewAnswer::Granted {
            lease: self.lease,
            update: ViewUpdate {
                version: self.version,
                changes,
            },
        }
    }

    pub fn claim(&mut self, request: ClaimRequest) -> ClaimAnswer {
        let ClaimRequest {
            order_key,
            fingerprint,
            claimant,
            ..
        } = request;
        let Some(known) = self.claims.get(&order_key) else {
            self.claims
                .insert(order_key, Claim::Held(claimant, fingerprint));
            return ClaimAnswer::Granted;
        };
        match known {
            Claim::Held(_, other) | Claim::Stored(_, other) | Claim::Unknown(other)
                if *other != fingerprint =>
            {
                ClaimAnswer::KeyReused
            }
            Claim::Held(holder, _) if *holder == claimant => ClaimAnswer::Granted,
            Claim::Held(..) => ClaimAnswer::InProgress,
            Claim::Stored(answer, _) => ClaimAnswer::Stored(answer.clone()),
            Claim::Unknown(_) => ClaimAnswer::Unknown,
        }
    }

    pub fn resolve(&mut self, order_key: &str, claimant: &Claimant, resolution: ClaimResolution) {
        let Some(Claim::Held(holder, fingerprint)) = self.claims.get(order_key) else {
            return;
        };
        if holder != claimant {
            return;
        }
        let fingerprint = *fingerprint;
        let key = order_key.to_owned();
        match resolution {
            ClaimResolution::Answered(answer) => {
                self.claims.insert(key, Claim::Stored(answer, fingerprint));
            }
            ClaimResolution::Unknown => {
                self.claims.insert(key, Claim::Unknown(fingerprint));
            }
            ClaimResolution::NotRun => {
                self.claims.remove(order_key);
            }
        }
    }
}
