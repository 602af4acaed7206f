//! Checks in virtual time that all entry VMs together keep the rate limits that backend servers
//! name.

mod callers;
mod entry_vm;
mod limited_server;
mod world;

use std::time::Duration;

use callers::Callers;
use googletest::prelude::*;
use world::World;

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
                let mut world = World::new(entry_count, callers);
                world.run_until(NAMED_AT);
                world.server.set_limit(NAMED_AT, Some(limit_per_s));
                let end = NAMED_AT + Duration::from_secs(25);
                world.run_until(end);
                let binding_from = NAMED_AT + SETTLING_TIME;
                let excess = world.server.excess(binding_from);
                expect_that!(excess, none(), "{case}");
                let used = world.server.rate_between(binding_from, end) / limit_per_s;
                expect_that!(used, ge(LEAST_USED_PART), "{case}");
            }
        }
    }
}
