//! Tests when entry VMs that are cut off begin and cease to send requests by way of others.

use std::time::Duration;

use googletest::prelude::*;

use crate::plan::{CUT_AT, CutKind, CutSize, HEALED_AT, Plan};
use crate::requests::served_share;
use crate::world::World;

const KINDS: [CutKind; 3] = [CutKind::Silent, CutKind::Reset, CutKind::NewRefused];
/// Time after which requests are sent directly again.
const TIME_TO_RETURN: Duration = Duration::from_secs(2);
/// Length of a moment.
const MOMENT: Duration = Duration::from_millis(100);
/// Connections that an entry VM may begin to open in a moment: twice the requests that arrive in it
/// at most, and a probe.
const MAX_CONNECTS: usize = 9;

#[gtest]
fn requests_are_sent_directly_soon_after_the_path_is_restored() {
    for kind in KINDS {
        for size in [CutSize::One, CutSize::Zone, CutSize::AllButOne] {
            for plan in [Plan::small(kind, size), Plan::large(kind, size)] {
                let mut world = World::start(plan);
                world.run_until(HEALED_AT + Duration::from_secs(4));
                expect_that!(world.relayed_at, not(is_empty()), "{plan:?}");
                let latest = world.relayed_at.iter().max();
                expect_that!(latest, some(le(&(HEALED_AT + TIME_TO_RETURN))), "{plan:?}");
                let busiest = most_connects(&world, HEALED_AT);
                expect_that!(busiest, le(MAX_CONNECTS), "{plan:?}");
            }
        }
    }
}

/// Returns the greatest number of connections that one entry VM began to open in a moment since
/// `from`.
fn most_connects(world: &World, from: Duration) -> usize {
    let counts = (0..world.plan.vm_count).map(|vm| {
        let connects = world.connects.iter();
        let own: Vec<Duration> = connects
            .filter(|(at, connecting)| *connecting == vm && *at >= from)
            .map(|(at, _)| *at)
            .collect();
        let counts = own.iter().map(|begin| {
            let moment = *begin..*begin + MOMENT;
            own.iter().filter(|at| moment.contains(*at)).count()
        });
        counts.max().unwrap_or(0)
    });
    counts.max().unwrap_or(0)
}

#[gtest]
fn nothing_is_relayed_and_no_server_is_probed_before_a_cut() {
    let plan = Plan::large(CutKind::Silent, CutSize::Zone);
    let mut world = World::start(plan);
    world.run_until(CUT_AT.saturating_sub(MOMENT));
    expect_that!(world.relayed_at, is_empty());
    expect_that!(world.probe_count, eq(0));
}

#[gtest]
fn cut_is_found_at_few_requests_a_second() {
    for kind in KINDS {
        let plan = Plan {
            requests_per_s: 2.0,
            ..Plan::small(kind, CutSize::Third)
        };
        let mut world = World::start(plan);
        world.run_until(HEALED_AT);
        let from = CUT_AT + Duration::from_secs(3);
        let served = served_share(&world.records, from, HEALED_AT, |vm| plan.is_cut(vm));
        expect_that!(served, ge(2.0 / 3.0), "{kind:?}");
    }
}
