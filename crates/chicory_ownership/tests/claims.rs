//! Tests of order claims: an order runs at most once, regardless of the VM that receives it, of
//! custody moves and of time.

mod common;

use std::collections::BTreeMap;

use chicory_ownership::*;
use chicory_types::{SlotRun, slot_of_key};
use common::fixtures::*;
use googletest::prelude::*;
use proptest::prelude::{ProptestConfig, prop, prop_assert_eq, prop_oneof, proptest};
use proptest::strategy::{Just, Strategy};
use proptest::test_runner::RngSeed;

const HOUR_MS: u64 = 3_600_000;

fn custody(zone: &str, generation: u64, cause: CustodyCause) -> Custody {
    Custody {
        zone: zone.to_owned(),
        generation,
        cause,
        moving_to: None,
    }
}

fn update(version: u64, custody: Custody) -> CustodyUpdate {
    CustodyUpdate {
        version,
        runs: vec![CustodyRun {
            service: ORDERS.to_owned(),
            run: ALL_SLOTS,
            custody,
        }],
        handovers: Vec::new(),
    }
}

/// Zone state to which commands are applied one after the other.
struct Zone {
    state: ZoneState,
}

impl Zone {
    fn new(zone: &str) -> Self {
        Self {
            state: ZoneState::new(zone.to_owned(), 1),
        }
    }

    fn with_custody(zone: &str) -> Self {
        let mut new = Self::new(zone);
        new.adopt(update(1, custody(zone, 1, CustodyCause::Initial)), 0);
        new
    }

    fn apply(&mut self, command: &ZoneCommand) -> ZoneOutcome {
        self.state.apply(self.state.applied() + 1, command)
    }

    fn adopt(&mut self, update: CustodyUpdate, at_ms: u64) {
        self.apply(&ZoneCommand::AdoptCustody { update, at_ms });
    }

    fn claim(&mut self, request: ClaimRequest, at_ms: u64) -> ClaimAnswer {
        match self.apply(&ZoneCommand::Claim { request, at_ms }) {
            ZoneOutcome::Claimed(answer) => answer,
            other => panic!("unexpected outcome of a claim: {other:?}"),
        }
    }

    fn resolve(&mut self, key: &str, vm: &str, attempt: u64, resolution: ClaimResolution) {
        let claimant = claim_by(ORDERS, key, vm, attempt).claimant;
        self.apply(&ZoneCommand::ResolveClaim {
            service: ORDERS.to_owned(),
            order_key: key.to_owned(),
            claimant,
            resolution,
        });
    }
}

fn answer(body: &[u8]) -> StoredAnswer {
    StoredAnswer {
        status: 201,
        content_type: "text/plain".to_owned(),
        body: Some(body.to_vec()),
    }
}

#[gtest]
fn a_resend_through_another_vm_finds_the_same_claim() {
    let mut zone = Zone::with_custody("a");
    expect_that!(
        zone.claim(claim_by(ORDERS, "k", "vm1", 1), 0),
        eq(&ClaimAnswer::Granted)
    );
    expect_that!(
        zone.claim(claim_by(ORDERS, "k", "vm1", 1), 1),
        eq(&ClaimAnswer::Granted)
    );
    expect_that!(
        zone.claim(claim_by(ORDERS, "k", "vm2", 1), 2),
        eq(&ClaimAnswer::InProgress)
    );
    zone.resolve("k", "vm2", 1, ClaimResolution::NotRun);
    expect_that!(
        zone.claim(claim_by(ORDERS, "k", "vm2", 1), 3),
        eq(&ClaimAnswer::InProgress)
    );
    zone.resolve("k", "vm1", 1, ClaimResolution::Answered(answer(b"done")));
    let stored = ClaimAnswer::Stored(answer(b"done"));
    expect_that!(zone.claim(claim_by(ORDERS, "k", "vm2", 1), 4), eq(&stored));
    zone.resolve("k", "vm1", 1, ClaimResolution::NotRun);
    expect_that!(zone.claim(claim_by(ORDERS, "k", "vm2", 2), 5), eq(&stored));
}

#[gtest]
fn a_key_serves_one_order() {
    let mut zone = Zone::with_custody("a");
    zone.claim(claim_by(ORDERS, "k", "vm1", 1), 0);
    let mut other = claim_by(ORDERS, "k", "vm1", 2);
    other.fingerprint += 1;
    expect_that!(zone.claim(other, 0), eq(&ClaimAnswer::KeyReused));
}

#[gtest]
fn an_order_that_did_not_run_may_be_claimed_again_but_not_by_a_late_copy() {
    let mut zone = Zone::with_custody("a");
    zone.claim(claim_by(ORDERS, "k", "vm1", 1), 0);
    zone.resolve("k", "vm1", 1, ClaimResolution::NotRun);
    expect_that!(
        zone.claim(claim_by(ORDERS, "k", "vm1", 1), 1),
        eq(&ClaimAnswer::Unknown)
    );
    expect_that!(
        zone.claim(claim_by(ORDERS, "k", "vm2", 9), 2),
        eq(&ClaimAnswer::Granted)
    );
}

#[gtest]
fn the_claim_of_a_lost_process_stays_unknown() {
    let mut zone = Zone::with_custody("a");
    zone.claim(claim_by(ORDERS, "k", "vm1", 1), 0);
    zone.apply(&ZoneCommand::AbandonClaims {
        vm: "vm1".to_owned(),
        incarnation: 1,
    });
    expect_that!(
        zone.claim(claim_by(ORDERS, "k", "vm2", 1), 1),
        eq(&ClaimAnswer::Unknown)
    );
    // The claimant was only cut off and reports the answer after all.
    zone.resolve("k", "vm1", 1, ClaimResolution::Answered(answer(b"x")));
    let stored = ClaimAnswer::Stored(answer(b"x"));
    expect_that!(zone.claim(claim_by(ORDERS, "k", "vm2", 1), 2), eq(&stored));
}

#[gtest]
fn claims_expire_after_their_retention_and_not_before() {
    let mut zone = Zone::with_custody("a");
    zone.claim(claim_by(ORDERS, "k", "vm1", 1), 1_000);
    zone.resolve("k", "vm1", 1, ClaimResolution::Answered(answer(b"x")));
    let end_ms = 1_000 + u64::try_from(CLAIM_RETENTION.as_millis()).unwrap();
    zone.apply(&ZoneCommand::Expire { at_ms: end_ms - 1 });
    let kept = zone.claim(claim_by(ORDERS, "k", "vm2", 1), end_ms - 1);
    expect_that!(kept, matches_pattern!(ClaimAnswer::Stored(_)));
    // A log clock value from the past changes nothing.
    zone.apply(&ZoneCommand::Expire { at_ms: 0 });
    expect_that!(zone.state.clock_ms(), eq(end_ms - 1));
    zone.apply(&ZoneCommand::Expire { at_ms: end_ms });
    expect_that!(zone.state.claims().len(), eq(0));
}

#[gtest]
fn claims_are_bounded_and_none_is_dropped_for_another() {
    let mut zone = Zone::with_custody("a");
    for number in 0..MAX_CLAIMS {
        zone.claim(claim_by(ORDERS, &format!("k{number}"), "vm1", 1), 0);
    }
    expect_that!(
        zone.claim(claim_by(ORDERS, "more", "vm1", 1), 0),
        eq(&ClaimAnswer::Full)
    );
    expect_that!(
        zone.claim(claim_by(ORDERS, "k0", "vm2", 1), 0),
        eq(&ClaimAnswer::InProgress)
    );
}

#[gtest]
fn stored_bodies_are_bounded() {
    let mut zone = Zone::with_custody("a");
    let body = vec![0; MAX_STORED_BODY_BYTES / 2 + 1];
    for key in ["k1", "k2"] {
        zone.claim(claim_by(ORDERS, key, "vm1", 1), 0);
        zone.resolve(key, "vm1", 1, ClaimResolution::Answered(answer(&body)));
    }
    let second = zone.claim(claim_by(ORDERS, "k2", "vm2", 1), 0);
    expect_that!(
        second,
        matches_pattern!(ClaimAnswer::Stored(field!(StoredAnswer.body, none())))
    );
}

#[gtest]
fn a_zone_without_custody_grants_nothing() {
    let mut zone = Zone::new("a");
    expect_that!(
        zone.claim(claim_by(ORDERS, "k", "vm1", 1), 0),
        eq(&ClaimAnswer::NotCustodian)
    );
    zone.adopt(update(1, custody("b", 1, CustodyCause::Initial)), 0);
    expect_that!(
        zone.claim(claim_by(ORDERS, "k", "vm1", 1), 0),
        eq(&ClaimAnswer::NotCustodian)
    );
}

#[gtest]
fn a_forced_custody_move_refuses_orders_for_the_retention() {
    let mut zone = Zone::new("b");
    zone.adopt(update(1, custody("a", 1, CustodyCause::Initial)), 0);
    zone.adopt(update(2, custody("b", 2, CustodyCause::Evicted)), HOUR_MS);
    let lost = zone.claim(claim_by(ORDERS, "k", "vm1", 1), 2 * HOUR_MS);
    expect_that!(lost, eq(&ClaimAnswer::HistoryLost));
    let end_ms = HOUR_MS + u64::try_from(CLAIM_RETENTION.as_millis()).unwrap();
    zone.apply(&ZoneCommand::Expire { at_ms: end_ms });
    let granted = zone.claim(claim_by(ORDERS, "k", "vm1", 1), end_ms);
    expect_that!(granted, eq(&ClaimAnswer::Granted));
}

/// Moves an order's slot from zone a to zone b by a release, with the commands that the leaders
/// would propose.
fn hand_over(from: &mut Zone, to: &mut Zone, key: &str, at_ms: u64) {
    let slot = slot_of_key(key);
    let run = SlotRun::new(slot, slot);
    let mut leaving = custody("a", 1, CustodyCause::Initial);
    leaving.moving_to = Some("b".to_owned());
    let mut moving = update(2, custody("a", 1, CustodyCause::Initial));
    moving.runs.push(CustodyRun {
        service: ORDERS.to_owned(),
        run,
        custody: leaving,
    });
    from.adopt(moving, at_ms);
    from.apply(&ZoneCommand::SealCustody {
        service: ORDERS.to_owned(),
        run,
        generation: 1,
    });
    let leader = ZoneLeader::new(std::time::Duration::ZERO, ZoneLeaderConfig::default());
    let request = leader.sync_request(&from.state, "vm1".to_owned());
    let Some(release) = request.releases.first().cloned() else {
        return;
    };
    let mut next = update(3, custody("b", 2, CustodyCause::Released));
    next.handovers.push(CustodyHandover {
        version: 3,
        to_zone: "b".to_owned(),
        service: release.service,
        run: release.run,
        generation: 2,
        claims: release.claims,
        history_lost_ms: release.history_lost_ms,
    });
    from.adopt(next.clone(), at_ms);
    to.adopt(next, 5 * HOUR_MS);
}

#[gtest]
fn claims_move_with_the_custody() {
    let (mut a, mut b) = (Zone::with_custody("a"), Zone::new("b"));
    a.claim(claim_by(ORDERS, "k", "vm1", 1), 0);
    // A slot is not released while an order of it is in progress.
    hand_over(&mut a, &mut b, "k", HOUR_MS);
    expect_that!(
        b.claim(claim_by(ORDERS, "k", "vm2", 1), 0),
        eq(&ClaimAnswer::NotCustodian)
    );
    expect_that!(
        a.claim(claim_by(ORDERS, "k", "vm2", 1), 0),
        eq(&ClaimAnswer::NotCustodian)
    );
    a.resolve("k", "vm1", 1, ClaimResolution::Answered(answer(b"x")));
    hand_over(&mut a, &mut b, "k", HOUR_MS);
    let stored = ClaimAnswer::Stored(answer(b"x"));
    expect_that!(b.claim(claim_by(ORDERS, "k", "vm2", 1), 0), eq(&stored));
    expect_that!(
        a.claim(claim_by(ORDERS, "k", "vm2", 1), 0),
        eq(&ClaimAnswer::NotCustodian)
    );
    // The age of the claim was handed over: one hour of its retention had passed in zone a.
    let end_ms = 5 * HOUR_MS + u64::try_from(CLAIM_RETENTION.as_millis()).unwrap() - HOUR_MS;
    b.apply(&ZoneCommand::Expire { at_ms: end_ms - 1 });
    expect_that!(b.state.claims().len(), eq(1));
    b.apply(&ZoneCommand::Expire { at_ms: end_ms });
    expect_that!(b.state.claims().len(), eq(0));
}

#[derive(Clone, Debug)]
enum Step {
    Claim {
        key: u8,
        vm: u8,
        attempt: u64,
    },
    Resolve {
        key: u8,
        vm: u8,
        attempt: u64,
        resolution: ClaimResolution,
    },
    Abandon {
        vm: u8,
    },
    Restore,
}

fn step() -> impl Strategy<Value = Step> {
    let ids = (0..3_u8, 0..3_u8, 0..3_u64);
    let resolution = prop_oneof![
        Just(ClaimResolution::NotRun),
        Just(ClaimResolution::Unknown),
        Just(ClaimResolution::Answered(answer(b"x"))),
    ];
    prop_oneof![
        4 => ids.clone().prop_map(|(key, vm, attempt)| Step::Claim { key, vm, attempt }),
        3 => (ids, resolution).prop_map(|((key, vm, attempt), resolution)| {
            Step::Resolve { key, vm, attempt, resolution }
        }),
        1 => (0..3_u8).prop_map(|vm| Step::Abandon { vm }),
        1 => Just(Step::Restore),
    ]
}

/// Naive model of claims that keeps the complete history of grants for each key.
#[derive(Default)]
struct NaiveClaims {
    grants: BTreeMap<u8, Vec<(Claimant, Option<ClaimResolution>)>>,
}

impl NaiveClaims {
    fn claim(&mut self, key: u8, claimant: &Claimant) -> ClaimAnswer {
        let grants = self.grants.entry(key).or_default();
        let Some((holder, end)) = grants.last() else {
            grants.push((claimant.clone(), None));
            return ClaimAnswer::Granted;
        };
        match end {
            None if holder == claimant => ClaimAnswer::Granted,
            None => ClaimAnswer::InProgress,
            Some(ClaimResolution::Answered(answer)) => ClaimAnswer::Stored(answer.clone()),
            Some(ClaimResolution::NotRun) if holder != claimant => {
                grants.push((claimant.clone(), None));
                ClaimAnswer::Granted
            }
            Some(_) => ClaimAnswer::Unknown,
        }
    }

    fn resolve(&mut self, key: u8, claimant: &Claimant, resolution: &ClaimResolution) {
        let last = self
            .grants
            .get_mut(&key)
            .and_then(|grants| grants.last_mut());
        if let Some((holder, end @ (None | Some(ClaimResolution::Unknown)))) = last
            && holder == claimant
        {
            *end = Some(resolution.clone());
        }
    }

    fn abandon(&mut self, vm: &str) {
        for (holder, end) in self.grants.values_mut().flatten() {
            if holder.vm == vm && end.is_none() {
                *end = Some(ClaimResolution::Unknown);
            }
        }
    }
}

fn config() -> ProptestConfig {
    ProptestConfig {
        cases: 512,
        rng_seed: RngSeed::Fixed(6),
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}

proptest! {
    #![proptest_config(config())]

    #[test]
    fn claims_agree_with_a_naive_history(steps in prop::collection::vec(step(), 1..60)) {
        let mut zone = Zone::with_custody("a");
        let mut naive = NaiveClaims::default();
        for step in steps {
            match step {
                Step::Claim { key, vm, attempt } => {
                    let request = claim_by(ORDERS, &key.to_string(), &vm.to_string(), attempt);
                    let expected = naive.claim(key, &request.claimant);
                    prop_assert_eq!(zone.claim(request, 0), expected);
                }
                Step::Resolve { key, vm, attempt, resolution } => {
                    let vm = vm.to_string();
                    let claimant = claim_by(ORDERS, "", &vm, attempt).claimant;
                    naive.resolve(key, &claimant, &resolution);
                    zone.resolve(&key.to_string(), &vm, attempt, resolution);
                }
                Step::Abandon { vm } => {
                    naive.abandon(&vm.to_string());
                    zone.apply(&ZoneCommand::AbandonClaims { vm: vm.to_string(), incarnation: 1 });
                }
                Step::Restore => zone.state = ZoneState::restore(zone.state.snapshot()),
            }
        }
    }
}
