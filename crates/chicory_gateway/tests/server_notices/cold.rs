//! Tests that all entry VMs together keep the limit of cold servers.

use std::time::Duration;

use googletest::prelude::*;
use rand::SeedableRng;
use rand::rngs::StdRng;

use crate::backend_server::BackendServer;
use crate::callers::Callers;
use crate::world::{PLANS, READS, TRAFFIC_AT, World};

/// Requests that a cold server bears in 1000 seconds.
const RATE_MILLIHERTZ: u32 = 4_000;
const RATE_PER_S: f64 = 4.0;
/// Greatest number of requests to a cold server in any second: 4 × 1.5 + 8.
const MOST_PER_S: usize = 14;
/// Least part of the rate that is used where callers request more.
const LEAST_USED_PART: f64 = 0.8;
const LONG: Duration = Duration::from_secs(1_000);

fn cold_world(entry_count: usize, cold_until: Duration) -> World {
    let server = BackendServer::cold(Duration::ZERO, cold_until);
    World::start_with(entry_count, vec![("a1", server)], Some(RATE_MILLIHERTZ))
}

/// Lets connections take up to their time limit, so that permits are used late.
fn delay_connections(world: &mut World) {
    world.connect_delays = Some(StdRng::seed_from_u64(7));
}

#[gtest]
fn entry_vms_together_keep_the_limit_of_a_cold_server() {
    for entry_count in [10, 89] {
        for callers in [
            Callers::even(40.0),
            Callers::uneven(40.0),
            Callers::even(400.0),
        ] {
            for are_permits_used_late in [false, true] {
                let case = format!("{entry_count}, {callers:?}, {are_permits_used_late}");
                let mut world = cold_world(entry_count, LONG);
                if are_permits_used_late {
                    delay_connections(&mut world);
                }
                world.add_callers(READS, callers);
                let end = TRAFFIC_AT + Duration::from_secs(15);
                world.run_until(end);
                let most = world.server("a1").most_in_a_second_of_cold(TRAFFIC_AT, end);
                expect_that!(most, le(MOST_PER_S), "{case}");
                let used = world.server("a1").rate_between(TRAFFIC_AT, end) / RATE_PER_S;
                expect_that!(used, ge(LEAST_USED_PART), "{case}");
            }
        }
    }
}

/// Guards against a limit that is lifted for a while, and against permits of two leaders at once.
#[gtest]
fn cold_limit_is_kept_without_a_leader_and_after_a_change_of_leader() {
    for entry_count in [10, 89] {
        let mut world = cold_world(entry_count, LONG);
        delay_connections(&mut world);
        world.add_callers(READS, Callers::even(100.0));
        world.run_until(TRAFFIC_AT + Duration::from_secs(5));
        world.restart_control_vm();
        world.run_until(world.now + Duration::from_secs(5));
        world.control_vm = None;
        let lost_at = world.now;
        world.run_until(lost_at + Duration::from_secs(20));
        let restarted_at = world.now;
        let rate = world.server("a1").rate_between(lost_at, restarted_at);
        expect_that!(rate, gt(0.0), "{entry_count}: nothing is sent");
        world.restart_control_vm();
        let settled_at = world.now + Duration::from_secs(3);
        let end = world.now + Duration::from_secs(20);
        world.run_until(end);
        let used = world.server("a1").rate_between(settled_at, end) / RATE_PER_S;
        expect_that!(used, ge(LEAST_USED_PART), "{entry_count}");
        let most = world.server("a1").most_in_a_second_of_cold(TRAFFIC_AT, end);
        expect_that!(most, le(MOST_PER_S), "{entry_count}");
    }
}

/// Those that are cut off use a share by themselves, while the others use permits for all of the
/// rate.
#[gtest]
fn entry_vms_that_are_cut_off_keep_the_cold_limit_together_with_the_others() {
    for entry_count in [10, 89] {
        for callers in [Callers::even(100.0), Callers::even(400.0)] {
            let mut world = cold_world(entry_count, LONG);
            delay_connections(&mut world);
            world.add_callers(READS, callers);
            world.run_until(TRAFFIC_AT + Duration::from_secs(2));
            for entry_vm in world.entry_vms.iter_mut().step_by(2) {
                entry_vm.is_linked = false;
            }
            let end = world.now + Duration::from_mins(1);
            world.run_until(end);
            let most = world.server("a1").most_in_a_second_of_cold(TRAFFIC_AT, end);
            expect_that!(most, le(MOST_PER_S), "{entry_count}");
        }
    }
}

/// Guards against a burst of all that was requested once the answers arrive again, and against
/// requests that wait for answers in vain.
#[gtest]
fn lost_answers_to_requests_for_permits_break_no_limit_and_hold_no_request() {
    for entry_count in [10, 89] {
        let mut world = cold_world(entry_count, LONG);
        world.add_callers(READS, Callers::even(100.0));
        world.run_until(TRAFFIC_AT + Duration::from_secs(3));
        world.are_permits_lost = true;
        world.run_until(world.now + Duration::from_secs(5));
        let oldest = world.entry_vms.iter().flat_map(|vm| &vm.waiting);
        let oldest = oldest.map(|(ticket, _)| world.now.saturating_sub(ticket.arrived_at()));
        let longest_wait = oldest.max().unwrap_or_default();
        expect_that!(
            longest_wait,
            le(Duration::from_millis(310)),
            "{entry_count}"
        );
        world.are_permits_lost = false;
        let end = world.now + Duration::from_secs(10);
        world.run_until(end);
        let most = world.server("a1").most_in_a_second_of_cold(TRAFFIC_AT, end);
        expect_that!(most, le(MOST_PER_S), "{entry_count}");
    }
}

/// A server that says again and again that it is cold for 3 s is taken at its word each time, and
/// is served in full as soon as it says that it is warm.
#[gtest]
fn server_is_limited_for_as_long_as_it_says_that_it_is_cold() {
    for entry_count in [10, 89] {
        let warm_at = TRAFFIC_AT + Duration::from_secs(15);
        let mut server = BackendServer::cold(Duration::ZERO, warm_at);
        server.set_stated_cold(Duration::from_secs(3));
        let servers = vec![("a1", server)];
        let mut world = World::start_with(entry_count, servers, Some(RATE_MILLIHERTZ));
        world.add_callers(READS, Callers::even(60.0));
        world.run_until(warm_at);
        let most = world
            .server("a1")
            .most_in_a_second_of_cold(TRAFFIC_AT, warm_at);
        expect_that!(most, le(MOST_PER_S), "{entry_count}");
        let settled_at = warm_at + Duration::from_secs(2);
        let end = settled_at + Duration::from_secs(5);
        world.run_until(end);
        let rate = world.server("a1").rate_between(settled_at, end);
        expect_that!(rate, ge(0.9 * 60.0), "{entry_count}");
    }
}

/// Guards against a limit named in answers, or answers without one, that replace the cold limit.
#[gtest]
fn lower_one_of_a_named_and_the_cold_limit_holds() {
    for entry_count in [10, 89] {
        let mut world = cold_world(entry_count, LONG);
        world.add_callers(READS, Callers::even(60.0));
        world.run_until(TRAFFIC_AT);
        for (limit_per_s, expected_per_s) in [(Some(20.0), 4.0), (Some(2.0), 2.0), (None, 4.0)] {
            let changed_at = world.now;
            world.server("a1").set_limit(changed_at, limit_per_s);
            let end = changed_at + Duration::from_secs(12);
            world.run_until(end);
            let settled_at = changed_at + Duration::from_secs(3);
            let rate = world.server("a1").rate_between(settled_at, end);
            let bounds = expected_per_s * LEAST_USED_PART..expected_per_s * 1.2;
            expect_that!(bounds.contains(&rate), eq(true), "{limit_per_s:?}: {rate}");
        }
        let end = world.now;
        let most = world.server("a1").most_in_a_second_of_cold(TRAFFIC_AT, end);
        expect_that!(most, le(MOST_PER_S), "{entry_count}");
    }
}

/// Services without a cold limit are served as before, whatever their servers announce.
#[gtest]
fn cold_server_of_a_service_without_a_cold_limit_is_served_in_full() {
    let server = BackendServer::cold(Duration::ZERO, LONG);
    let mut world = World::start_with(10, vec![("a1", server)], None);
    world.add_callers(READS, Callers::even(60.0));
    world.run_until(TRAFFIC_AT + Duration::from_secs(5));
    let counts = world.counts(READS);
    expect_that!(counts.refused, eq(0));
    expect_that!(counts.sent, ge(200));
}

/// Plays a service without keys whose warm servers are full, and one of whose zones comes back cold.
///
/// Guards against cold servers that get more than they bear because the others turn requests away,
/// and against requests that are refused although cold servers would take them.
#[gtest]
fn zone_of_a_service_without_keys_that_comes_back_cold_is_used_up_to_its_limit() {
    for entry_count in [10, 89] {
        let server = |is_cold| {
            let mut server = BackendServer::default();
            server.capacity = Some(4);
            if is_cold {
                server.set_cold(Duration::ZERO, LONG);
            }
            server
        };
        let servers = vec![
            ("library-a1", server(false)),
            ("library-a2", server(false)),
            ("library-a3", server(false)),
            ("library-a4", server(false)),
            ("library-b1", server(true)),
            ("library-b2", server(true)),
        ];
        let mut world = World::start_with(entry_count, servers, Some(RATE_MILLIHERTZ));
        // The warm servers serve 200 requests a second.
        world.add_callers(PLANS, Callers::even(300.0));
        let from = TRAFFIC_AT + Duration::from_secs(3);
        let end = from + Duration::from_secs(12);
        world.run_until(end);
        for name in ["library-b1", "library-b2"] {
            let most = world.server(name).most_in_a_second_of_cold(TRAFFIC_AT, end);
            expect_that!(most, le(MOST_PER_S), "{entry_count} {name}");
            let used = world.server(name).rate_between(from, end) / RATE_PER_S;
            expect_that!(used, ge(LEAST_USED_PART), "{entry_count} {name}");
        }
    }
}

/// Guards against permits that are spent, and requests that wait for them, while warm servers could
/// serve the requests at once.
#[gtest]
fn cold_servers_without_keys_get_nothing_while_warm_ones_have_room() {
    for entry_count in [10, 89] {
        let servers = vec![
            ("library-a1", BackendServer::default()),
            ("library-b1", BackendServer::cold(Duration::ZERO, LONG)),
        ];
        let mut world = World::start_with(entry_count, servers, Some(RATE_MILLIHERTZ));
        world.add_callers(PLANS, Callers::even(60.0));
        let end = TRAFFIC_AT + Duration::from_secs(5);
        world.run_until(end);
        let rate = world.server("library-b1").rate_between(TRAFFIC_AT, end);
        expect_that!(rate, eq(0.0), "{entry_count}");
        expect_that!(world.counts(PLANS).refused, eq(0), "{entry_count}");
    }
}
