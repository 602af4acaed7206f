//! Tests that the callers of entry VMs that are cut off from the backend servers are served.

use std::time::Duration;

use googletest::prelude::*;

use crate::plan::{CUT_AT, CutKind, CutSize, HEALED_AT, Plan};
use crate::requests::{Ending, served_share};
use crate::world::World;

/// Users require that 3 s after the cut began, callers of the entry VMs that are cut off are served
/// at least two thirds as often as those of the others.
const TIME_TO_MEND: Duration = Duration::from_secs(3);
const LEAST_FRACTION: f64 = 2.0 / 3.0;
/// Longest time in which a request that can't be served is refused.
const LONGEST_REFUSAL: Duration = Duration::from_millis(100);

fn expect_callers_are_served(kind: CutKind) {
    for size in [CutSize::One, CutSize::Third, CutSize::Zone] {
        for plan in [Plan::small(kind, size), Plan::large(kind, size)] {
            expect_served(plan);
        }
    }
}

fn expect_served(plan: Plan) {
    let mut world = World::start(plan);
    world.run_until(HEALED_AT + Duration::from_secs(2));
    let from = CUT_AT + TIME_TO_MEND;
    let records = &world.records;
    let cut = served_share(records, from, HEALED_AT, |vm| plan.is_cut(vm));
    let others = served_share(records, from, HEALED_AT, |vm| !plan.is_cut(vm));
    expect_that!(others, gt(0.9), "{plan:?}");
    expect_that!(cut, ge(LEAST_FRACTION * others), "{plan:?}");
}

#[gtest]
fn callers_of_entry_vms_whose_connections_to_servers_hang_are_served() {
    expect_callers_are_served(CutKind::Silent);
}

#[gtest]
fn callers_of_entry_vms_whose_connections_to_servers_are_reset_are_served() {
    expect_callers_are_served(CutKind::Reset);
}

#[gtest]
fn callers_of_entry_vms_whose_new_connections_to_servers_are_refused_are_served() {
    expect_callers_are_served(CutKind::NewRefused);
}

/// Connections that were open before a cut answer while they last, which must not hide it.
#[gtest]
fn callers_are_served_while_open_connections_live_on_and_end_one_by_one() {
    for kind in [CutKind::NewRefused, CutKind::NewClosed] {
        for size in [CutSize::One, CutSize::Third, CutSize::Zone] {
            for requests_per_s in [8.0, 22.0, 40.0] {
                let plan = Plan {
                    has_closing_servers: true,
                    requests_per_s,
                    ..Plan::small(kind, size)
                };
                expect_served(plan);
            }
        }
    }
}

/// A single entry VM can't relay the requests of all others.
#[gtest]
fn requests_that_the_only_entry_vm_with_a_path_can_not_relay_are_refused_at_once() {
    for kind in [CutKind::Silent, CutKind::Reset, CutKind::NewRefused] {
        let size = CutSize::AllButOne;
        for plan in [Plan::small(kind, size), Plan::large(kind, size)] {
            let mut world = World::start(plan);
            world.run_until(HEALED_AT + Duration::from_secs(2));
            let from = CUT_AT + TIME_TO_MEND;
            let records = &world.records;
            let before = served_share(records, Duration::ZERO, CUT_AT, |vm| !plan.is_cut(vm));
            let helper = served_share(records, from, HEALED_AT, |vm| !plan.is_cut(vm));
            expect_that!(helper, ge(LEAST_FRACTION * before), "{plan:?}");
            let cut = served_share(records, from, HEALED_AT, |vm| plan.is_cut(vm));
            expect_that!(cut, gt(0.0), "{plan:?}");
            let late = records.iter().filter(|record| {
                let is_counted = (from..HEALED_AT).contains(&record.arrived_at);
                is_counted && is_held(&record.ending)
            });
            expect_that!(late.count(), eq(0), "{plan:?}");
        }
    }
}

/// Whether a request was neither served nor refused at once with a time to come back.
fn is_held(ending: &Ending) -> bool {
    match ending {
        Ending::Served => false,
        Ending::Refused {
            took,
            may_have_run,
            has_retry_after,
        } => *took > LONGEST_REFUSAL || *may_have_run || !has_retry_after,
    }
}
