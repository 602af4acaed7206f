//! How keys leave an evacuated zone and return to it.

use std::collections::BTreeSet;
use std::time::Duration;

use chicory_ranges::GrantCall;
use chicory_site::SiteNote;
use googletest::prelude::*;

use super::{announce_all, begin, finish, keys_in, order, site_with_servers};
use crate::support::Simulation;

/// Time within which keys leave a zone: owners in the zone get requests for 3 s, of which the order
/// takes up to 1 s to be known everywhere.
const LEAVE_TIME: Duration = Duration::from_secs(2);

/// Returns the time until the zone has no keys, and fails if that takes too long.
fn time_to_leave(simulation: &mut Simulation, zone: &str) -> Duration {
    let ordered_at = simulation.now;
    while keys_in(simulation, zone) > 0 {
        assert!(
            simulation.now < ordered_at + LEAVE_TIME,
            "{} keys left",
            keys_in(simulation, zone)
        );
        simulation.step();
    }
    simulation.now.saturating_sub(ordered_at)
}

fn in_force(simulation: &Simulation) -> Vec<(String, Duration)> {
    let notes = simulation.notes.iter();
    notes
        .filter_map(|(_, note)| match note {
            SiteNote::EvacuationInForce { zone, took } => Some((zone.clone(), *took)),
            _ => None,
        })
        .collect()
}

/// Guards against a throttle on moves: a third of the servers of a large service has to release its
/// keys at once, also where each release waits for requests that run, and where grants are being
/// renewed or other moves are under way when the order comes.
#[gtest]
fn keys_of_46_of_131_servers_leave_within_two_seconds() {
    let servers = [46, 43, 42];
    let cases = [(0, 0), (300, 3_000), (900, 0), (900, 4_100), (900, 4_510)];
    for (longest_ms, run_ms) in cases {
        let mut simulation = site_with_servers(servers);
        simulation.grant_delay = (Duration::ZERO, Duration::from_millis(longest_ms));
        let leader = simulation.await_leader();
        announce_all(&mut simulation, servers);
        simulation.run(Duration::from_millis(run_ms));
        expect_that!(keys_in(&simulation, "north"), gt(10_000));
        order(&mut simulation, &leader, begin("north"));
        time_to_leave(&mut simulation, "north");
        let granted: u32 = ["south", "west"]
            .map(|zone| keys_in(&simulation, zone))
            .iter()
            .sum();
        expect_that!(granted, eq(65_536));
        simulation.run(Duration::from_millis(500));
        let in_force = in_force(&simulation);
        expect_that!(in_force.len(), eq(1));
        expect_that!(in_force[0].0, eq("north"));
        expect_that!(in_force[0].1, le(LEAVE_TIME));
    }
}

/// Guards against keys that move back to servers of the zone before the evacuation is finished, and
/// against a zone that stays without keys afterwards.
#[gtest]
fn zone_gets_no_keys_until_its_evacuation_is_finished() {
    let servers = [4, 4, 4];
    let mut simulation = site_with_servers(servers);
    let leader = simulation.await_leader();
    order(&mut simulation, &leader, begin("north"));
    time_to_leave(&mut simulation, "north");
    simulation.grants.clear();
    for _ in 0..10 {
        announce_all(&mut simulation, servers);
        simulation.run(Duration::from_secs(1));
        expect_that!(keys_in(&simulation, "north"), eq(0));
    }
    let granted: BTreeSet<String> = simulation
        .grants
        .iter()
        .filter(|(_, call)| matches!(call, GrantCall::Grant { .. }))
        .map(|(incarnation, _)| incarnation.server.clone())
        .collect();
    expect_that!(granted.len(), eq(8));
    order(&mut simulation, &leader, finish("north"));
    simulation.run(Duration::from_secs(3));
    expect_that!(keys_in(&simulation, "north"), gt(0));
}

/// Guards against a leader that gives keys to nobody, or refuses the order, when no server is left.
#[gtest]
fn order_for_the_last_zone_is_obeyed_and_keys_stay_until_another_zone_may_own_them() {
    let servers = [2, 2, 2];
    let mut simulation = site_with_servers(servers);
    let leader = simulation.await_leader();
    for zone in ["north", "south", "west"] {
        order(&mut simulation, &leader, begin(zone));
    }
    simulation.run(Duration::from_secs(2));
    let owned: u32 = super::ZONES
        .map(|zone| keys_in(&simulation, zone))
        .iter()
        .sum();
    expect_that!(owned, eq(65_536));
    order(&mut simulation, &leader, finish("south"));
    for zone in ["north", "west"] {
        time_to_leave(&mut simulation, zone);
    }
    expect_that!(keys_in(&simulation, "south"), eq(65_536));
}

/// Guards against keys that stay with servers that can't be asked to release them, and against keys
/// that have two owners because their grants have not expired.
#[gtest]
fn keys_of_a_zone_that_is_cut_off_move_once_their_holds_have_expired() {
    // Announcements of the zone's servers may arrive although calls to them don't.
    for has_announcements in [false, true] {
        let servers = [3, 3, 3];
        let mut simulation = site_with_servers(servers);
        simulation.unreachable_servers =
            (1..=3).map(|index| format!("server-{index:03}")).collect();
        let leader = simulation.await_leader();
        order(&mut simulation, &leader, begin("north"));
        simulation.run(LEAVE_TIME);
        expect_that!(keys_in(&simulation, "north"), gt(0));
        expect_that!(in_force(&simulation).len(), eq(0));
        // A hold, and the time after which a release counts as unanswered.
        for _ in 0..14 {
            if has_announcements {
                announce_all(&mut simulation, servers);
            }
            simulation.run(Duration::from_secs(1));
        }
        expect_that!(keys_in(&simulation, "north"), eq(0));
        expect_that!(in_force(&simulation).len(), eq(1));
    }
}

/// Guards against an evacuation that stops with its leader.
#[gtest]
fn next_leader_goes_on_with_an_evacuation() {
    let servers = [4, 4, 4];
    let mut simulation = site_with_servers(servers);
    // The first leader gets no answer to its releases.
    simulation.grant_delay = (Duration::from_secs(30), Duration::from_secs(30));
    let leader = simulation.await_leader();
    order(&mut simulation, &leader, begin("north"));
    simulation.kill(&leader);
    simulation.grant_delay = (Duration::ZERO, Duration::ZERO);
    simulation.await_leader();
    expect_that!(keys_in(&simulation, "north"), gt(0));
    announce_all(&mut simulation, servers);
    // A new leader waits for calls of the former one that may arrive.
    simulation.run(Duration::from_secs(4));
    announce_all(&mut simulation, servers);
    simulation.run(Duration::from_secs(1));
    expect_that!(keys_in(&simulation, "north"), eq(0));
    expect_that!(in_force(&simulation).len(), eq(1));
}
