//! Connections that become unresponsive while new ones work, and the limits on connections.

use chicory_dispatch::{Effect, Outcome, RefusalReason};
use googletest::prelude::*;

use crate::support::*;

/// Creates a world in which a burst of requests has opened several connections to `b1`.
fn world_with_connections() -> World {
    let mut world = World::new(&[(BOARD, "b1")]);
    for id in 1..=8 {
        world.arrive(head(id, BOARD));
    }
    world.run_for(ms(100));
    world
}

#[gtest]
fn all_unresponsive_connections_are_closed_together() {
    let mut world = world_with_connections();
    let opened = world.path.counters().connects;
    world.stall_connections("b1");
    world.arrive(head(10, BOARD));
    world.run_for(ms(700));
    expect_true!(world.is_forwarded(10));
    expect_that!(world.path.counters().silent_connections, eq(opened));
    expect_that!(world.path.counters().servers_down, eq(0));
    expect_that!(world.server("b1").probes, eq(1));
}

#[gtest]
fn unresponsive_connection_is_never_used_again() {
    let mut world = world_with_connections();
    world.stall_connections("b1");
    world.arrive_many(10, 40, ms(20), |id| head(id, BOARD));
    world.run_for(ms(2_000));
    world.arrive_many(100, 40, ms(20), |id| head(id, BOARD));
    expect_that!(world.completed(100, 40), eq(40));
}

#[gtest]
fn order_on_an_unresponsive_connection_is_unknown_and_not_resent() {
    let mut world = World::new(&[(LEDGER, "l1")]);
    world.arrive(order(1, "a"));
    world.run_for(ms(50));
    world.stall_connections("l1");
    world.arrive(order(2, "b"));
    world.run_for(ms(2_000));
    let expected = (RefusalReason::DeadlinePassed, Outcome::Unknown);
    expect_that!(world.refusal(2), some(eq(expected)));
    expect_that!(world.writes.len(), eq(2));
}

#[gtest]
fn slow_request_on_a_running_server_is_not_cancelled() {
    let mut world = World::new(&[(BOARD, "b1")]);
    world.server("b1").service_time = ms(1_500);
    world.arrive(head(1, BOARD));
    world.run_for(ms(1_600));
    expect_that!(world.completed(1, 1), eq(1));
    expect_that!(world.server("b1").probes, all![ge(1), le(4)]);
}

#[gtest]
fn long_transfers_do_not_hide_unresponsive_connections() {
    let mut world = World::new(&[(BOARD, "b1")]);
    let with_long_deadline = |id| chicory_dispatch::RequestHead {
        deadline: Some(ms(9_000)),
        ..head(id, BOARD)
    };
    world.server("b1").transfer_time = ms(3_000);
    world.arrive_many(1, 12, ms(1_000), with_long_deadline);
    world.run_for(ms(4_000));
    expect_that!(world.completed(1, 12), eq(12));
    world.server("b1").transfer_time = ms(0);
    world.stall_connections("b1");
    world.arrive(with_long_deadline(20));
    world.run_for(ms(700));
    expect_true!(world.is_forwarded(20));
}

#[gtest]
fn short_deadlines_do_not_hide_unresponsive_connections() {
    let mut world = world_with_connections();
    world.stall_connections("b1");
    let short = |id| chicory_dispatch::RequestHead {
        deadline: Some(ms(100)),
        ..head(id, BOARD)
    };
    world.arrive_many(10, 10, ms(110), short);
    expect_that!(world.completed(12, 8), eq(8));
}

#[gtest]
fn short_deadlines_do_not_hide_a_frozen_server() {
    let mut world = world_with_connections();
    world.freeze("b1");
    let short = |id| chicory_dispatch::RequestHead {
        deadline: Some(ms(100)),
        ..head(id, BOARD)
    };
    world.arrive_many(10, 10, ms(110), short);
    expect_that!(world.path.counters().servers_down, eq(1));
}

#[gtest]
fn connects_after_an_outage_are_rate_limited() {
    let config = config().connect_rate_per_s(20).build();
    let servers: Vec<String> = (0..10).map(|i| format!("p{i}")).collect();
    let named: Vec<(&str, &str)> = servers.iter().map(|s| (PLANS, s.as_str())).collect();
    let mut world = World::with_config(config, &named);
    for id in 1..=40 {
        world.arrive(head(id, PLANS));
    }
    let at_once = world.count_effects(|e| matches!(e, Effect::Connect { .. }));
    expect_that!(at_once, le(2));
    world.run_for(ms(1_000));
    expect_that!(world.path.counters().connects, le(22));
    expect_that!(world.completed(1, 40), eq(40));
}

#[gtest]
fn connections_stay_within_the_limit_of_the_server() {
    let mut world = World::new(&[(PLANS, "p1")]);
    world.server("p1").connection_limit = 3;
    let mut small = record(PLANS, "p1");
    small.connections = 3;
    world.change_view([chicory_ownership::ViewChange::ServerUpserted(small)]);
    for round in 0..20 {
        for id in 0..8 {
            world.arrive(head(100 + round * 8 + id, PLANS));
        }
        world.run_for(ms(30));
        world.stall_connections("p1");
    }
    world.run_for(ms(3_000));
    expect_that!(world.server("p1").max_connections, le(3));
    expect_true!(world.all_ended());
}

#[gtest]
fn idle_connections_are_closed_at_their_cap() {
    let mut world = world_with_connections();
    world.run_for(ms(31_000));
    let opened = world.path.counters().connects;
    let closed = world.count_effects(|e| matches!(e, Effect::Close { .. }));
    expect_that!(closed as u64, eq(opened));
}
