//! Draining servers and a process that stops.

use chicory_dispatch::{Effect, Event, Outcome, RefusalReason};
use chicory_ownership::ViewChange;
use googletest::prelude::*;

use crate::support::*;

#[gtest]
fn draining_server_gets_no_unkeyed_requests() {
    let mut world = World::new(&[(PLANS, "p1"), (PLANS, "p2")]);
    let mut draining = record(PLANS, "p1");
    draining.draining = true;
    world.change_view([ViewChange::ServerUpserted(draining)]);
    world.arrive_many(1, 50, ms(5), |id| head(id, PLANS));
    expect_that!(world.server("p1").runs, is_empty());
    expect_that!(world.completed(1, 50), ge(49));
}

#[gtest]
fn draining_owner_gets_no_requests_after_two_seconds() {
    let mut world = World::new(&[(BOARD, "b1")]);
    world.announce_as("b1", |record| record.draining = true);
    world.arrive(head(1, BOARD));
    world.run_for(ms(2_000));
    expect_true!(world.is_forwarded(1));
    world.arrive(head(2, BOARD));
    let expected = (RefusalReason::NoOwner, Outcome::NotRun);
    expect_that!(world.refusal(2), some(eq(expected)));
}

/// Returns the table with the weight of a server set to 0.
fn table_without(service: &str, server: &str) -> chicory_table::Table {
    let mut weighted = table();
    let overrides = weighted.overrides.entry(service.to_owned()).or_default();
    let drained = chicory_table::ServerOverride {
        weight: Some(0),
        ..Default::default()
    };
    overrides.insert(server.to_owned(), drained);
    weighted
}

#[gtest]
fn owner_of_weight_zero_gets_no_requests_after_two_seconds() {
    let mut world = World::new(&[(BOARD, "b1")]);
    world.change_view([ViewChange::TableInForce(table_without(BOARD, "b1"))]);
    world.arrive(head(1, BOARD));
    world.run_for(ms(2_000));
    expect_true!(world.is_forwarded(1));
    world.arrive(head(2, BOARD));
    let expected = (RefusalReason::NoOwner, Outcome::NotRun);
    expect_that!(world.refusal(2), some(eq(expected)));
    world.change_view([ViewChange::TableInForce(table())]);
    world.arrive(head(3, BOARD));
    world.run_for(ms(100));
    expect_true!(world.is_forwarded(3));
}

#[gtest]
fn server_of_weight_zero_gets_no_unkeyed_requests() {
    let mut world = World::new(&[(PLANS, "p1"), (PLANS, "p2")]);
    world.change_view([ViewChange::TableInForce(table_without(PLANS, "p1"))]);
    world.arrive_many(1, 50, ms(5), |id| head(id, PLANS));
    expect_that!(world.server("p1").runs, is_empty());
}

#[gtest]
fn planned_stop_finishes_accepted_requests() {
    let mut world = World::new(&[(BOARD, "b1"), (LEDGER, "l1")]);
    for name in ["b1", "l1"] {
        world.server(name).service_time = ms(100);
    }
    for id in 1..=8 {
        world.arrive(head(id, BOARD));
    }
    world.arrive(order(9, "k"));
    world.feed(Event::StopRequested);
    expect_false!(world.path.is_ready());
    expect_that!(
        world.count_effects(|e| matches!(e, Effect::SetReady { is_ready: false })),
        eq(1)
    );
    world.arrive(head(20, BOARD));
    let expected = (RefusalReason::Stopping, Outcome::NotRun);
    expect_that!(world.refusal(20), some(eq(expected)));
    world.run_for(ms(150));
    expect_false!(world.is_stopped);
    world.run_for(ms(1_000));
    expect_that!(world.completed(1, 9), eq(9));
    expect_true!(world.is_stopped);
    expect_that!(
        world.group.renewals.last().map(|r| r.stopping),
        some(eq(true))
    );
    let resigned = world.group.renewals.iter().flat_map(|r| &r.resigned);
    expect_that!(resigned.count(), eq(2));
}

#[gtest]
fn stop_ends_without_a_reachable_zone_group() {
    let mut world = World::new(&[(BOARD, "b1")]);
    world.group.is_reachable = false;
    world.feed(Event::StopRequested);
    world.run_for(ms(4_000));
    expect_true!(world.is_stopped);
}
