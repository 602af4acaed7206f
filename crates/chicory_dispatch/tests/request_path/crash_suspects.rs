//! Requests that crash backend servers.

use chicory_dispatch::{Effect, Outcome, RefusalReason, RequestHead};
use chicory_ownership::ViewChange;
use googletest::prelude::*;

use crate::support::*;

const POISON: u64 = 666;

fn poison(id: u64) -> RequestHead {
    RequestHead {
        fingerprint: POISON,
        ..head(id, PLANS)
    }
}

fn crashing_world() -> World {
    let mut world = World::new(&[(PLANS, "p1"), (PLANS, "p2"), (PLANS, "p3")]);
    for name in ["p1", "p2", "p3"] {
        world.server(name).mode = Mode::CrashOn(POISON);
    }
    world
}

#[gtest]
fn request_that_crashes_servers_is_refused_after_the_second() {
    let mut world = crashing_world();
    world.arrive(poison(1));
    world.run_for(ms(500));
    expect_that!(world.refusal(1).map(|r| r.1), some(eq(Outcome::Unknown)));
    let dead = world
        .servers
        .values()
        .filter(|s| s.mode == Mode::Dead)
        .count();
    expect_that!(dead, eq(2));
    world.arrive(poison(2));
    let expected = (RefusalReason::Quarantined, Outcome::NotRun);
    expect_that!(world.refusal(2), some(eq(expected)));
    let alone = |e: &Effect| {
        matches!(
            e,
            Effect::ReportCrash {
                was_alone: true,
                ..
            }
        )
    };
    expect_that!(world.count_effects(alone), eq(2));
}

#[gtest]
fn request_in_flight_beside_the_crashing_one_is_served_and_cleared() {
    let mut world = crashing_world();
    for name in ["p1", "p2", "p3"] {
        world.server(name).service_time = ms(30);
    }
    for id in 1..=9 {
        world.arrive(head(id, PLANS));
    }
    world.run_for(ms(5));
    world.arrive(poison(100));
    world.run_for(ms(2_000));
    expect_that!(world.completed(1, 9), eq(9));
    for server in world.servers.values_mut() {
        server.mode = Mode::Up;
    }
    world.run_for(ms(1_500));
    for id in 1..=9 {
        world.arrive(RequestHead {
            fingerprint: id,
            ..head(200 + id, PLANS)
        });
    }
    world.run_for(ms(500));
    expect_that!(world.completed(200, 10), eq(9));
}

#[gtest]
fn broken_connection_of_a_running_server_is_not_a_crash() {
    let mut world = World::new(&[(PLANS, "p1"), (PLANS, "p2")]);
    world.server("p1").mode = Mode::BreakingConnections;
    world.arrive_many(1, 20, ms(30), |id| head(id, PLANS));
    expect_that!(world.path.counters().crashes, eq(0));
}

#[gtest]
fn quarantine_of_the_zone_applies_until_it_is_lifted() {
    let mut world = World::new(&[(PLANS, "p1")]);
    world.change_view([ViewChange::Quarantined { fingerprint: 7 }]);
    world.arrive(head(7, PLANS));
    let expected = (RefusalReason::Quarantined, Outcome::NotRun);
    expect_that!(world.refusal(7), some(eq(expected)));
    world.change_view([ViewChange::QuarantineLifted { fingerprint: 7 }]);
    world.arrive(RequestHead {
        fingerprint: 7,
        ..head(8, PLANS)
    });
    world.run_for(ms(50));
    expect_true!(world.is_forwarded(8));
}
