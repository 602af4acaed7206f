//! A group of one voter.

use std::collections::VecDeque;
use std::time::Duration;

use chicory_consensus::{
    Formation, MemberId, Replica, ReplicaConfig, ReplicaEffect, ReplicaEvent, RestoredState, Role,
};
use googletest::prelude::*;

fn config() -> ReplicaConfig {
    ReplicaConfig::builder(MemberId::new("vm-a", 1), vec!["vm-a".into()])
        .formation(Formation::Unanimous)
        .build()
        .expect("valid settings")
}

fn run(replica: &mut Replica, now: Duration, event: ReplicaEvent) -> Vec<ReplicaEffect> {
    let mut events = VecDeque::from([event]);
    let mut effects = Vec::new();
    while let Some(event) = events.pop_front() {
        for effect in replica.reduce(now, event) {
            if let ReplicaEffect::Persist { ticket, .. } = effect {
                events.push_back(ReplicaEvent::Persisted { ticket });
            }
            effects.push(effect);
        }
    }
    effects
}

#[gtest]
fn becomes_leader_immediately_and_applies_proposals() {
    let now = Duration::from_secs(1);
    let mut replica = Replica::new(config(), RestoredState::fresh(), now);
    run(&mut replica, now, ReplicaEvent::Tick);
    expect_that!(replica.role(), eq(Role::Leader));
    expect_true!(replica.has_leader_lease(now));
    let propose = ReplicaEvent::Propose {
        proposal_id: 9,
        command: b"x".to_vec(),
    };
    let effects = run(&mut replica, now, propose);
    let applied = ReplicaEffect::Apply {
        index: 2,
        term: 1,
        command: b"x".to_vec(),
        proposal_id: Some(9),
    };
    expect_that!(effects, contains(eq(&applied)));
}

#[gtest]
fn applies_nothing_before_it_is_durable() {
    let now = Duration::from_secs(1);
    let mut replica = Replica::new(config(), RestoredState::fresh(), now);
    run(&mut replica, now, ReplicaEvent::Tick);
    let propose = ReplicaEvent::Propose {
        proposal_id: 9,
        command: b"x".to_vec(),
    };
    let effects = replica.reduce(now, propose);
    expect_that!(effects, len(eq(1)));
    expect_that!(replica.commit_index(), eq(1));
}

#[gtest]
fn failed_storage_halts_the_replica() {
    let now = Duration::from_secs(1);
    let mut replica = Replica::new(config(), RestoredState::fresh(), now);
    run(&mut replica, now, ReplicaEvent::Tick);
    let effects = replica.reduce(now, ReplicaEvent::PersistFailed { ticket: 9 });
    expect_that!(
        effects,
        contains(eq(&ReplicaEffect::LostLeadership { term: 1 }))
    );
    expect_false!(replica.has_leader_lease(now));
}
