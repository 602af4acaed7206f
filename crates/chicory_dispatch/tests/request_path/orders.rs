//! Orders: claims, outcomes and resends.

use chicory_dispatch::{Effect, Event, Outcome, RefusalReason};
use chicory_ownership::{ClaimAnswer, ClaimResolution};
use googletest::prelude::*;

use crate::support::*;

fn resolutions(world: &World) -> Vec<ClaimResolution> {
    let effects = world.effects.iter().map(|(_, e)| e);
    effects
        .filter_map(|e| match e {
            Effect::ResolveClaim { resolution, .. } => Some(resolution.clone()),
            _ => None,
        })
        .collect()
}

#[gtest]
fn claim_of_a_shed_order_is_released_before_its_refusal() {
    let mut world = World::new(&[(LEDGER, "l1")]);
    world.server("l1").mode = Mode::Shedding;
    world.arrive(order(1, "k"));
    world.run_for(ms(50));
    let expected = (RefusalReason::ServerShed, Outcome::NotRun);
    expect_that!(world.refusal(1), some(eq(expected)));
    let is_refusal = |e: &Effect| matches!(e, Effect::Refuse { .. });
    let is_resolution = |e: &Effect| matches!(e, Effect::ResolveClaim { .. });
    let refused_at = world.effects.iter().position(|(_, e)| is_refusal(e));
    let resolved_at = world.effects.iter().position(|(_, e)| is_resolution(e));
    expect_that!(resolved_at, some(anything()));
    expect_that!(resolved_at, lt(refused_at));
    world.server("l1").mode = Mode::Up;
    world.arrive(order(2, "k"));
    world.run_for(ms(50));
    expect_true!(world.is_forwarded(2));
}

#[gtest]
fn order_lost_in_a_frozen_server_stays_unknown() {
    let mut world = World::new(&[(LEDGER, "l1"), (LEDGER, "l2")]);
    for name in ["l1", "l2"] {
        world.server(name).mode = Mode::Frozen;
    }
    world.arrive(order(1, "k"));
    world.run_for(ms(1_500));
    expect_that!(world.refusal(1).map(|r| r.1), some(eq(Outcome::Unknown)));
    for name in ["l1", "l2"] {
        world.server(name).mode = Mode::Up;
    }
    world.run_for(ms(1_500));
    world.arrive(order(2, "k"));
    world.run_for(ms(50));
    let expected = (RefusalReason::OrderOutcomeLost, Outcome::Unknown);
    expect_that!(world.refusal(2), some(eq(expected)));
    expect_that!(world.writes.len(), eq(1));
}

#[gtest]
fn resend_while_the_order_runs_is_refused_as_in_progress() {
    let mut world = World::new(&[(LEDGER, "l1")]);
    world.server("l1").service_time = ms(100);
    world.arrive(order(1, "k"));
    world.run_for(ms(10));
    world.arrive(order(2, "k"));
    world.run_for(ms(10));
    let expected = (RefusalReason::OrderInProgress, Outcome::Unknown);
    expect_that!(world.refusal(2), some(eq(expected)));
}

#[gtest]
fn resend_through_another_vm_finds_the_same_claim() {
    let mut first = World::new(&[(LEDGER, "l1")]);
    let other = chicory_dispatch::RequestPathConfig::builder(PEER, ZONE).build();
    let mut second = World::with_config(other, &[(LEDGER, "l2")]);
    second.change_view([dispatcher("l2", Some(PEER), 5)]);
    first.arrive(order(1, "k"));
    first.run_for(ms(50));
    std::mem::swap(&mut first.group, &mut second.group);
    second.arrive(order(1, "k"));
    second.run_for(ms(50));
    expect_that!(second.finals.get(&1), some(eq(&Final::Stored)));
    expect_that!(second.writes, is_empty());
}

#[gtest]
fn order_of_another_zone_is_claimed_there() {
    let mut world = World::new(&[(LEDGER, "l1")]);
    world.change_view([custody(LEDGER, FAR_ZONE)]);
    world.arrive(order(1, "k"));
    expect_that!(world.path.counters().claims, eq(0));
    expect_that!(world.path.counters().relays, eq(1));
    world.feed(Event::RelayFailed {
        request: 1,
        failure: chicory_dispatch::RelayFailure::BrokenBeforeAnswer,
    });
    let expected = (RefusalReason::RelayFailed, Outcome::Unknown);
    expect_that!(world.refusal(1), some(eq(expected)));
}

#[gtest]
fn order_of_an_unreachable_zone_is_refused_as_unknown() {
    let mut world = World::new(&[(LEDGER, "l1")]);
    world.change_view([custody(LEDGER, FAR_ZONE)]);
    world.arrive(order(1, "k"));
    for _ in 0..2 {
        world.feed(Event::RelayFailed {
            request: 1,
            failure: chicory_dispatch::RelayFailure::NothingSent,
        });
    }
    let expected = (RefusalReason::ZoneUnreachable, Outcome::Unknown);
    expect_that!(world.refusal(1), some(eq(expected)));
}

#[gtest]
fn unanswered_claim_is_released_and_refused_at_the_deadline() {
    let mut world = World::new(&[(LEDGER, "l1")]);
    world.group.answers_claims = false;
    world.arrive(order(1, "k"));
    world.run_for(ms(2_000));
    let expected = (RefusalReason::DeadlinePassed, Outcome::Unknown);
    expect_that!(world.refusal(1), some(eq(expected)));
    expect_that!(resolutions(&world).len(), eq(1));
    world.feed(Event::ClaimAnswered {
        request: 1,
        answer: ClaimAnswer::Granted,
    });
    expect_that!(resolutions(&world), each(eq(&ClaimResolution::NotRun)));
    expect_that!(resolutions(&world).len(), eq(2));
    expect_that!(world.writes, is_empty());
}

#[gtest]
fn claim_granted_after_the_lease_has_ended_is_released() {
    let mut world = World::new(&[(LEDGER, "l1")]);
    world.group.answers_claims = false;
    world.group.is_reachable = false;
    world.run_for(ms(1_500));
    world.arrive(order(1, "k"));
    world.run_for(ms(1_000));
    world.feed(Event::ClaimAnswered {
        request: 1,
        answer: ClaimAnswer::Granted,
    });
    let expected = (RefusalReason::NoLease, Outcome::NotRun);
    expect_that!(world.refusal(1), some(eq(expected)));
    expect_that!(
        resolutions(&world),
        elements_are![eq(&ClaimResolution::NotRun)]
    );
}

#[gtest]
fn failed_claim_is_released_before_the_refusal() {
    let mut world = World::new(&[(LEDGER, "l1")]);
    world.group.answers_claims = false;
    world.arrive(order(1, "k"));
    world.feed(Event::ClaimFailed { request: 1 });
    let expected = (RefusalReason::ClaimUnavailable, Outcome::Unknown);
    expect_that!(world.refusal(1), some(eq(expected)));
    expect_that!(
        resolutions(&world),
        elements_are![eq(&ClaimResolution::NotRun)]
    );
}

#[gtest]
fn claim_is_redirected_to_the_leader() {
    let mut world = World::new(&[(LEDGER, "l1")]);
    world.group.answers_claims = false;
    world.arrive(order(1, "k"));
    world.group.answers_claims = true;
    world.feed(Event::ClaimAnswered {
        request: 1,
        answer: ClaimAnswer::NotLeader {
            leader: Some("entry-3".to_owned()),
        },
    });
    world.run_for(ms(50));
    expect_true!(world.is_forwarded(1));
}

#[gtest]
fn order_in_flight_outlives_its_caller_and_keeps_its_answer() {
    let mut world = World::new(&[(LEDGER, "l1")]);
    world.server("l1").service_time = ms(100);
    world.arrive(order(1, "k"));
    world.run_for(ms(20));
    world.feed(Event::CallerGone { request: 1 });
    world.run_for(ms(200));
    world.arrive(order(2, "k"));
    world.run_for(ms(20));
    expect_that!(world.finals.get(&2), some(eq(&Final::Stored)));
}

#[gtest]
fn overload_refuses_orders_without_a_claim() {
    let mut world = World::new(&[(LEDGER, "l1")]);
    world.server("l1").service_time = ms(50);
    for id in 1..=100 {
        world.arrive(order(id, &format!("k{id}")));
    }
    expect_that!(world.path.counters().claims, le(36));
    world.run_for(ms(3_000));
    expect_true!(world.all_ended());
}

#[gtest]
fn order_is_refused_as_not_run_only_after_its_claim_was_looked_up() {
    let mut world = World::new(&[(LEDGER, "l1")]);
    world.change_view([chicory_ownership::ViewChange::ServerRemoved(
        "l1".to_owned(),
    )]);
    world.arrive(order(1, "k"));
    world.run_for(ms(3_000));
    let expected = (RefusalReason::NoServer, Outcome::Unknown);
    expect_that!(world.refusal(1), some(eq(expected)));
    let mut unknown_service = order(2, "k");
    unknown_service.service = "removed".to_owned();
    world.arrive(unknown_service);
    let expected = (RefusalReason::UnknownService, Outcome::Unknown);
    expect_that!(world.refusal(2), some(eq(expected)));
}
