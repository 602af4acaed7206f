//! Tests that all entry VMs together keep the rate limits that servers name.

use std::time::Duration;

use googletest::prelude::*;

use crate::callers::Callers;
use crate::world::{READS, TRAFFIC_AT, URGENT, World};

/// Least part of a limit that is used where callers request more.
const LEAST_USED_PART: f64 = 0.8;
/// Time at which the server names its first limit.
const NAMED_AT: Duration = Duration::from_secs(12);
/// Time after which a limit binds all entry VMs.
const SETTLING_TIME: Duration = Duration::from_secs(3);

#[gtest]
fn entry_vms_together_keep_a_named_limit() {
    for entry_count in [10, 77] {
        for callers in [Callers::even(40.0), Callers::uneven(40.0)] {
            for limit_per_s in [3.5, 6.2, 12.0] {
                let case = format!("{entry_count} entry VMs, {callers:?}, limit {limit_per_s}");
                let mut world = World::start(entry_count, &["a1"]);
                world.add_callers(READS, callers);
                world.run_until(NAMED_AT);
                world.server("a1").set_limit(NAMED_AT, Some(limit_per_s));
                let end = NAMED_AT + Duration::from_secs(25);
                world.run_until(end);
                let binding_from = NAMED_AT + SETTLING_TIME;
                let excess = world.server("a1").excess(binding_from);
                expect_that!(excess, none(), "{case}");
                let used = world.server("a1").rate_between(binding_from, end) / limit_per_s;
                expect_that!(used, ge(LEAST_USED_PART), "{case}");
            }
        }
    }
}

/// Starts a site whose only server has named a limit and whose callers request more.
fn limited_world(entry_count: usize, limit_per_s: f64) -> World {
    let mut world = World::start(entry_count, &["a1"]);
    world.add_callers(READS, Callers::even(40.0));
    world.run_until(NAMED_AT);
    world.server("a1").set_limit(NAMED_AT, Some(limit_per_s));
    world.run_until(NAMED_AT + SETTLING_TIME);
    world
}

#[gtest]
fn limit_that_falls_rises_and_ends_is_followed() {
    for entry_count in [10, 77] {
        let mut world = limited_world(entry_count, 12.0);
        for (limit_per_s, seconds) in [(Some(3.5), 12), (Some(20.0), 12), (None, 12)] {
            let changed_at = world.now;
            world.server("a1").set_limit(changed_at, limit_per_s);
            let end = changed_at + Duration::from_secs(seconds);
            world.run_until(end);
            let settled_at = changed_at + SETTLING_TIME;
            let rate = world.server("a1").rate_between(settled_at, end);
            let least = limit_per_s.unwrap_or(40.0) * LEAST_USED_PART;
            expect_that!(rate, ge(least), "{entry_count}, {limit_per_s:?}");
        }
        let excess = world.server("a1").excess(NAMED_AT + SETTLING_TIME);
        expect_that!(excess, none(), "{entry_count}");
    }
}

#[gtest]
fn limit_is_kept_without_a_leader_and_after_a_change_of_leader() {
    for entry_count in [10, 77] {
        let mut world = limited_world(entry_count, 6.2);
        world.control_vm = None;
        let lost_at = world.now;
        let restarted_at = lost_at + Duration::from_secs(20);
        world.run_until(restarted_at);
        let rate = world.server("a1").rate_between(lost_at, restarted_at);
        expect_that!(
            rate,
            gt(0.0),
            "{entry_count}: nothing is served without a leader"
        );
        world.restart_control_vm();
        let end = restarted_at + Duration::from_secs(20);
        world.run_until(end);
        let settled_at = restarted_at + SETTLING_TIME;
        let used = world.server("a1").rate_between(settled_at, end) / 6.2;
        expect_that!(used, ge(LEAST_USED_PART), "{entry_count}");
        let excess = world.server("a1").excess(NAMED_AT + SETTLING_TIME);
        expect_that!(excess, none(), "{entry_count}");
    }
}

#[gtest]
fn entry_vms_that_are_cut_off_keep_the_limit_together_with_the_others() {
    for entry_count in [10, 77] {
        let mut world = limited_world(entry_count, 6.2);
        for entry_vm in world.entry_vms.iter_mut().step_by(2) {
            entry_vm.is_linked = false;
        }
        world.run_until(world.now + Duration::from_secs(20));
        let excess = world.server("a1").excess(NAMED_AT + SETTLING_TIME);
        expect_that!(excess, none(), "{entry_count}");
    }
}

#[gtest]
fn callers_who_come_at_once_after_a_calm_time_stay_within_the_limit() {
    for entry_count in [10, 77] {
        let mut world = World::start(entry_count, &["a1"]);
        let now = world.now;
        world.server("a1").set_limit(now, Some(3.5));
        world.add_callers(READS, Callers::even(1.0));
        world.run_until(NAMED_AT + SETTLING_TIME);
        world.add_callers(READS, Callers::even(200.0));
        world.run_until(world.now + Duration::from_secs(8));
        let excess = world.server("a1").excess(NAMED_AT + SETTLING_TIME);
        expect_that!(excess, none(), "{entry_count}");
    }
}

#[gtest]
fn urgent_requests_go_first_within_a_limit() {
    for entry_count in [10, 77] {
        let mut world = limited_world(entry_count, 6.2);
        world.run_until(world.now + Duration::from_secs(2));
        world.add_callers(URGENT, Callers::even(3.0));
        world.run_until(world.now + Duration::from_secs(3));
        let before = world.counts(URGENT);
        world.run_until(world.now + Duration::from_secs(30));
        let after = world.counts(URGENT);
        let sent = f64::from(after.sent - before.sent);
        let refused = f64::from(after.refused - before.refused);
        let served = sent / (sent + refused);
        expect_that!(served, ge(0.95), "{entry_count}");
        // The others get what is left.
        let excess = world.server("a1").excess(NAMED_AT + SETTLING_TIME);
        expect_that!(excess, none(), "{entry_count}");
    }
}

#[gtest]
fn keys_move_away_from_a_server_with_a_limit() {
    let mut world = World::start(10, &["a1", "a2", "a3", "a4"]);
    world.add_callers(READS, Callers::even(40.0));
    world.run_until(NAMED_AT);
    world.server("a1").set_limit(NAMED_AT, Some(3.5));
    world.run_until(NAMED_AT + Duration::from_secs(5));
    let before = world.counts(READS);
    world.run_until(world.now + Duration::from_secs(20));
    let after = world.counts(READS);
    let refused = f64::from(after.refused - before.refused);
    let sent = f64::from(after.sent - before.sent);
    expect_that!(refused / (sent + refused), le(0.02));
}

#[gtest]
fn keys_stay_while_a_limit_comes_and_goes() {
    let mut world = World::start(10, &["a1", "a2", "a3", "a4"]);
    world.add_callers(READS, Callers::even(40.0));
    world.run_until(NAMED_AT);
    let mut moves = Vec::new();
    for round in 0..10 {
        let limit_per_s = (round % 2 == 0).then_some(3.5);
        let now = world.now;
        world.server("a1").set_limit(now, limit_per_s);
        world.run_until(now + Duration::from_secs(4));
        moves.push(world.moves());
    }
    // The first two rounds move the keys that the limit leaves no room for.
    let (first, last) = (moves[1], moves[9]);
    expect_that!(last - first, le(first));
}

#[gtest]
fn permits_for_two_hundred_servers_fit_into_the_traffic_of_thin_links() {
    let names: Vec<String> = (0..200).map(|index| format!("server-{index:08}")).collect();
    let names: Vec<&str> = names.iter().map(String::as_str).collect();
    let mut world = World::start(77, &names);
    world.add_callers(READS, Callers::even(1500.0));
    for name in &names {
        world.server(name).set_limit(TRAFFIC_AT, Some(3.5));
    }
    world.run_until(world.now + Duration::from_secs(2));
    let before = world.limit_traffic;
    world.run_until(world.now + Duration::from_secs(2));
    let after = world.limit_traffic;
    // The aim is 8 KB a second for all control traffic of an entry VM.
    let bytes_per_s = (after.bytes - before.bytes) / 2 / 77;
    expect_that!(bytes_per_s, le(8 * 1024));
}
