//! Tests which keys cold servers own.

use std::time::Duration;

use chicory_ranges::ServerIncarnation;
use googletest::prelude::*;

use crate::backend_server::BackendServer;
use crate::callers::Callers;
use crate::world::{READS, TRAFFIC_AT, World};

const RATE_MILLIHERTZ: u32 = 4_000;
/// Greatest number of requests to a cold server in any second: 4 × 1.5 + 8.
const MOST_PER_S: usize = 14;
const COLD_TIME: Duration = Duration::from_secs(3);

fn seconds(count: u64) -> Duration {
    Duration::from_secs(count)
}

fn world(entry_count: usize, names: &[&str]) -> World {
    let servers = names.iter().map(|name| (*name, BackendServer::default()));
    World::start_with(entry_count, servers.collect(), Some(RATE_MILLIHERTZ))
}

/// Returns the part of the requests in a span that was refused.
fn refused_part(world: &mut World, span: Duration) -> f64 {
    let before = world.counts(READS);
    world.run_until(world.now + span);
    let after = world.counts(READS);
    let refused = f64::from(after.refused - before.refused);
    refused / (refused + f64::from(after.sent - before.sent))
}

/// Guards against keys for cold servers in proportion to their slots, of which they could serve a
/// few percent, and against servers that own few keys for good.
#[gtest]
fn zone_that_comes_back_cold_gets_few_keys_at_first_and_its_share_once_it_is_warm() {
    for entry_count in [10, 89] {
        let mut world = world(
            entry_count,
            &["a1", "a2", "a3", "a4", "a5", "a6", "a7", "a8"],
        );
        world.add_callers(READS, Callers::even(240.0));
        world.run_until(TRAFFIC_AT + seconds(5));
        let back_at = world.now;
        let warm_at = back_at + COLD_TIME;
        let zone = ["b1", "b2", "b3", "b4"];
        for name in zone {
            let server = BackendServer::cold(back_at, warm_at);
            world
                .servers
                .insert(ServerIncarnation::new(name, 1), server);
        }
        let refused = refused_part(&mut world, COLD_TIME);
        expect_that!(refused, le(0.05), "{entry_count}");
        for name in zone {
            let most = world
                .server(name)
                .most_in_a_second_of_cold(back_at, warm_at);
            expect_that!(most, le(MOST_PER_S), "{entry_count} {name}");
        }
        world.run_until(warm_at + seconds(8));
        let from = world.now;
        let refused = refused_part(&mut world, seconds(5));
        expect_that!(refused, le(0.02), "{entry_count}");
        // A fair share is 20 requests a second.
        for name in zone {
            let rate = world.server(name).rate_between(from, from + seconds(5));
            expect_that!(rate, ge(0.6 * 20.0), "{entry_count} {name}");
        }
    }
}

/// Guards against keys that leave a server and come back within seconds, which costs callers two
/// pauses for little.
#[gtest]
fn server_that_turns_cold_for_a_short_time_keeps_its_keys() {
    let mut world = world(10, &["a1", "a2", "a3", "a4"]);
    world.add_callers(READS, Callers::even(40.0));
    world.run_until(TRAFFIC_AT + seconds(10));
    let moves = world.moves();
    for _ in 0..5 {
        let now = world.now;
        world.server("a1").set_cold(now, now + COLD_TIME);
        world.run_until(now + seconds(8));
    }
    expect_that!(world.moves(), le(moves + 1));
    let end = world.now;
    let most = world
        .server("a1")
        .most_in_a_second_of_cold(TRAFFIC_AT + seconds(11), end);
    expect_that!(most, le(MOST_PER_S));
}

/// Guards against keys that nobody serves in full for as long as their owner is cold.
#[gtest]
fn keys_of_a_server_that_stays_cold_for_long_are_served_by_others() {
    for stated in [None, Some(COLD_TIME)] {
        let mut world = world(10, &["a1", "a2", "a3", "a4"]);
        world.add_callers(READS, Callers::even(100.0));
        world.run_until(TRAFFIC_AT + seconds(10));
        let now = world.now;
        world.server("a1").set_cold(now, now + seconds(40));
        if let Some(stated) = stated {
            world.server("a1").set_stated_cold(stated);
        }
        world.run_until(now + seconds(12));
        let refused = refused_part(&mut world, seconds(15));
        expect_that!(refused, le(0.02), "{stated:?}");
    }
}

/// The other servers are hardly above the mean without this one, so nothing but its own growth is a
/// reason to move keys to it.
#[gtest]
fn one_server_that_turns_warm_gets_its_share_although_no_other_one_is_overloaded() {
    let mut world = world(10, &["a1", "a2", "a3", "a4", "a5", "a6", "a7", "a8", "a9"]);
    world.add_callers(READS, Callers::even(200.0));
    world.run_until(TRAFFIC_AT + seconds(5));
    let back_at = world.now;
    let server = BackendServer::cold(back_at, back_at + COLD_TIME);
    world
        .servers
        .insert(ServerIncarnation::new("b1", 1), server);
    let from = back_at + COLD_TIME + seconds(10);
    world.run_until(from + seconds(10));
    // A fair share is 20 requests a second.
    let rate = world.server("b1").rate_between(from, from + seconds(10));
    expect_that!(rate, ge(0.6 * 20.0));
}
