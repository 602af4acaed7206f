//! Tests that servers that say that they leave get no more requests.

use std::time::Duration;

use googletest::prelude::*;

use crate::callers::Callers;
use crate::world::{READS, World};

#[gtest]
fn server_that_says_that_it_leaves_gets_no_requests_two_seconds_later() {
    for entry_count in [10, 77] {
        for is_linked in [true, false] {
            let mut world = World::start(entry_count, &["a1", "a2"]);
            world.add_callers(READS, Callers::even(400.0));
            for entry_vm in &mut world.entry_vms {
                entry_vm.is_linked = is_linked;
            }
            let leaves_at = world.now + Duration::from_secs(1);
            world.server("a1").set_leaving(leaves_at);
            world.run_until(leaves_at + Duration::from_secs(8));
            let late_arrival = world.server("a1").late_arrival();
            let case = format!("{entry_count} entry VMs, linked: {is_linked}");
            expect_that!(late_arrival, none(), "{case}");
        }
    }
}

/// The server has not told the control VMs, which only learn of it from entry VMs.
#[gtest]
fn keys_of_a_server_that_says_that_it_leaves_are_served_by_another_one() {
    let mut world = World::start(10, &["a1", "a2"]);
    world.add_callers(READS, Callers::even(100.0));
    let leaves_at = world.now + Duration::from_secs(1);
    world.server("a1").set_leaving(leaves_at);
    world.run_until(leaves_at + Duration::from_millis(500));
    let before = world.counts(READS);
    world.run_until(world.now + Duration::from_secs(8));
    let after = world.counts(READS);
    let refused = after.refused - before.refused;
    expect_that!(refused, eq(0));
}
