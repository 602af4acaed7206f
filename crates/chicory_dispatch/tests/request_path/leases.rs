//! The lease, dispatcher roles, and slots that change owner.

use chicory_dispatch::{Effect, Event, Outcome, RefusalReason};
use chicory_ownership::{RenewRequest, SlotOwner};
use chicory_types::{FencingToken, slot_of_key};
use googletest::prelude::*;

use crate::support::*;

fn releasing(server: &str) -> SlotOwner {
    SlotOwner::Releasing {
        server: server.to_owned(),
        token: FencingToken::new(1, 1),
    }
}

/// Returns whether the renewal reports the slot of `key-1` as released.
fn has_released(request: &RenewRequest) -> bool {
    let slot = slot_of_key("key-1");
    let mut runs = request.released.iter().flat_map(|r| &r.runs);
    runs.any(|run| run.contains(slot))
}

#[gtest]
fn ended_lease_clears_readiness_and_stops_writes() {
    let mut world = World::new(&[(BOARD, "b1")]);
    world.group.is_reachable = false;
    world.run_for(ms(2_500));
    expect_false!(world.path.is_ready());
    world.arrive(head(1, BOARD));
    let expected = (RefusalReason::NoLease, Outcome::NotRun);
    expect_that!(world.refusal(1), some(eq(expected)));
    world.group.is_reachable = true;
    world.run_for(ms(300));
    world.arrive(head(2, BOARD));
    world.run_for(ms(20));
    expect_true!(world.is_forwarded(2));
}

#[gtest]
fn process_resumed_after_a_pause_writes_nothing_without_a_lease() {
    let mut world = World::new(&[(BOARD, "b1")]);
    world.server("b1").service_time = ms(1_000);
    for id in 1..=6 {
        world.arrive(head(id, BOARD));
    }
    world.run_for(ms(10));
    let before = world.writes.len();
    world.now += ms(3_000);
    world.arrive(head(10, BOARD));
    expect_that!(world.writes.len(), eq(before));
    expect_false!(world.path.is_ready());
}

#[gtest]
fn lease_end_cancels_keyed_requests_on_servers_that_check_no_grants() {
    let mut world = World::new(&[(BOARD, "b1")]);
    let mut unchecked = record(BOARD, "b1");
    unchecked.checks_grants = false;
    world.change_view([chicory_ownership::ViewChange::ServerUpserted(unchecked)]);
    world.server("b1").service_time = ms(5_000);
    world.group.is_reachable = false;
    let mut slow = head(1, BOARD);
    slow.deadline = Some(ms(9_000));
    slow.is_replayable = false;
    world.run_for(ms(2_000));
    world.arrive(slow);
    world.run_for(ms(500));
    let expected = (RefusalReason::NoLease, Outcome::Unknown);
    expect_that!(world.refusal(1), some(eq(expected)));
}

#[gtest]
fn renewal_is_redirected_to_the_named_leader() {
    let mut world = World::new(&[(BOARD, "b1")]);
    world.group.is_reachable = false;
    let at = world.now + ms(400);
    world.run_for(ms(399));
    let sent = world
        .effects
        .iter()
        .rev()
        .find(|(_, e)| matches!(e, Effect::Renew { .. }));
    let sent_at = sent.expect("a renewal").0;
    expect_that!(sent_at, lt(at));
    world.feed(Event::RenewAnswered {
        sent_at,
        from: PEER.to_owned(),
        answer: chicory_ownership::RenewAnswer::NotLeader {
            leader: Some("entry-3".to_owned()),
        },
    });
    let last = world.effects.last().map(|(_, e)| e);
    let is_redirected =
        matches!(last, Some(Effect::Renew { leader: Some(vm), .. }) if vm == "entry-3");
    expect_true!(is_redirected);
}

#[gtest]
fn late_renewal_answer_changes_nothing() {
    let mut world = World::new(&[(BOARD, "b1")]);
    world.group.is_reachable = false;
    world.run_for(ms(2_500));
    world.feed(Event::RenewAnswered {
        sent_at: ms(0),
        from: PEER.to_owned(),
        answer: chicory_ownership::RenewAnswer::Granted {
            lease: ms(60_000),
            update: chicory_ownership::ViewUpdate {
                version: 99,
                changes: Vec::new(),
            },
        },
    });
    expect_false!(world.path.is_ready());
    expect_that!(world.path.directory().version(), lt(99));
}

#[gtest]
fn lost_role_finishes_running_requests_and_resigns() {
    let mut world = World::new(&[(BOARD, "b1")]);
    world.server("b1").service_time = ms(1_000);
    for id in 1..=6 {
        world.arrive(head(id, BOARD));
    }
    world.change_view([dispatcher("b1", Some(PEER), 9)]);
    let queued = world.count_effects(|e| matches!(e, Effect::Relay { .. }));
    expect_that!(queued, eq(2));
    let resigned = |w: &World| w.group.renewals.iter().any(|r| !r.resigned.is_empty());
    expect_false!(resigned(&world));
    world.run_for(ms(1_000));
    expect_that!(world.completed(1, 6), eq(4));
    expect_true!(resigned(&world));
    expect_that!(world.writes.len(), eq(4));
}

#[gtest]
fn role_of_a_lost_dispatcher_is_taken_over() {
    let mut world = World::new(&[(BOARD, "b1")]);
    world.change_view([dispatcher("b1", Some(PEER), 9)]);
    let mut with_long_deadline = head(1, BOARD);
    with_long_deadline.deadline = Some(ms(1_500));
    world.arrive(with_long_deadline);
    world.feed(Event::RelayFailed {
        request: 1,
        failure: chicory_dispatch::RelayFailure::NothingSent,
    });
    world.run_for(ms(50));
    let expected = (RefusalReason::NoDispatcher, Outcome::NotRun);
    expect_that!(world.refusal(1), some(eq(expected)));
    world.change_view([dispatcher("b1", Some(VM), 10)]);
    world.arrive(head(2, BOARD));
    world.run_for(ms(20));
    expect_true!(world.is_forwarded(2));
    // The lost dispatcher may have granted leases until its end, so its grants have to expire
    // first.
    world.change_view([slots(BOARD, releasing("b1"))]);
    expect_false!(world.group.renewals.iter().any(has_released));
    world.run_for(ms(2_500));
    expect_true!(world.group.renewals.iter().any(has_released));
}

#[gtest]
fn releasing_slots_refuse_new_requests_and_wait_for_running_ones() {
    let mut world = World::new(&[(BOARD, "b1")]);
    world.run_for(ms(3_000));
    world.server("b1").service_time = ms(900);
    world.arrive(head(1, BOARD));
    world.run_for(ms(10));
    world.change_view([slots(BOARD, releasing("b1"))]);
    world.arrive(head(2, BOARD));
    let expected = (RefusalReason::NoOwner, Outcome::NotRun);
    expect_that!(world.refusal(2), some(eq(expected)));
    expect_false!(world.group.renewals.iter().any(has_released));
    world.run_for(ms(600));
    expect_true!(world.is_forwarded(1));
    expect_true!(world.group.renewals.iter().any(has_released));
}

#[gtest]
fn slots_are_released_after_the_lease_of_the_server() {
    let mut world = World::new(&[(BOARD, "b1")]);
    world.run_for(ms(3_000));
    let lease = world.announce("b1", 0).lease;
    let granted_at = world.now;
    world.change_view([slots(BOARD, releasing("b1"))]);
    let is_reported = |w: &World| w.group.renewals.iter().any(has_released);
    while !is_reported(&world) && world.now < granted_at + lease * 2 {
        world.run_for(ms(10));
    }
    expect_true!(is_reported(&world));
    expect_that!(world.now, ge(granted_at + lease));
}

#[gtest]
fn slots_are_released_at_once_when_the_server_has_its_new_grants() {
    let mut world = World::new(&[(BOARD, "b1")]);
    world.run_for(ms(3_000));
    world.announce("b1", 0);
    world.change_view([slots(BOARD, releasing("b1"))]);
    let version = world.announce("b1", 0).grants_version;
    expect_false!(world.group.renewals.iter().any(has_released));
    world.announce("b1", version);
    world.run_for(ms(60));
    expect_true!(world.group.renewals.iter().any(has_released));
}

#[gtest]
fn waiting_request_moves_with_its_slot() {
    let mut world = World::new(&[(BOARD, "b1"), (BOARD, "b2")]);
    world.server("b1").service_time = ms(1_000);
    for id in 1..=6 {
        world.arrive(head(id, BOARD));
    }
    world.change_view([slots(BOARD, owned("b2", 2))]);
    expect_that!(world.server("b2").runs.len(), eq(2));
    expect_that!(world.completed(5, 2), eq(2));
}
