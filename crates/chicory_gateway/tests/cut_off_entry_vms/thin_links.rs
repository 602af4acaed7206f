//! Tests that callers are served while entry VMs whose links are thin relay for others.

use std::time::Duration;

use googletest::prelude::*;

use crate::plan::{CUT_AT, CutKind, CutSize, Plan};
use crate::requests::served_share;
use crate::world::World;

/// Time after the begin of a cut from which callers are served again, and the least share of served
/// requests at entry VMs that are cut off, compared with the others.
const TIME_TO_MEND: Duration = Duration::from_secs(3);
const LEAST_FRACTION: f64 = 2.0 / 3.0;
/// Time of the cut that is played.
const PLAYED_TIME: Duration = Duration::from_secs(8);

#[gtest]
fn relayed_answers_do_not_fill_the_links_of_entry_vms() {
    for kind in [CutKind::Silent, CutKind::Reset, CutKind::NewRefused] {
        for size in [CutSize::Third, CutSize::TwoThirds] {
            let plan = Plan::thin(kind, size);
            let mut world = World::start(plan);
            let until = CUT_AT + PLAYED_TIME;
            world.run_until(until);
            let from = CUT_AT + TIME_TO_MEND;
            let records = &world.records;
            let before = served_share(records, Duration::from_secs(1), CUT_AT, |_| true);
            let cut = served_share(records, from, until, |vm| plan.is_cut(vm));
            let others = served_share(records, from, until, |vm| !plan.is_cut(vm));
            expect_that!(before, gt(0.95), "{plan:?}");
            expect_that!(others, gt(0.9), "{plan:?}");
            expect_that!(cut, ge(LEAST_FRACTION * others), "{plan:?}");
        }
    }
}
