//! The size of the control group that bears what may be lost at once.

use std::collections::BTreeMap;

use chicory_site::{FaultTolerance, ToleranceShortfall};
use googletest::prelude::*;

fn zones(count: usize, region_count: usize) -> BTreeMap<String, String> {
    let zone = |index: usize| {
        (
            format!("zone-{index}"),
            format!("region-{}", index % region_count),
        )
    };
    (0..count).map(zone).collect()
}

fn tolerance(vm_count: usize, zone_count: usize, region_count: usize) -> FaultTolerance {
    FaultTolerance {
        vm_count,
        zone_count,
        region_count,
    }
}

#[gtest]
fn group_grows_with_what_may_be_lost() {
    let cases = [
        (tolerance(0, 0, 0), zones(1, 1), 3),
        (tolerance(1, 1, 0), zones(3, 1), 3),
        (tolerance(2, 1, 0), zones(5, 1), 5),
        (tolerance(2, 1, 0), zones(3, 1), 5),
        (tolerance(2, 1, 0), zones(7, 2), 5),
        (tolerance(3, 1, 0), zones(5, 1), 7),
        // Three voters in six zones bear the loss of one zone only.
        (tolerance(1, 2, 0), zones(6, 1), 5),
        (tolerance(1, 1, 1), zones(3, 3), 3),
        (tolerance(1, 1, 0), BTreeMap::new(), 3),
    ];
    for (tolerance, zones, voter_count) in cases {
        let plan = tolerance.voter_plan(&zones);
        expect_that!(plan.voter_count, eq(voter_count), "{tolerance:?}");
        expect_that!(plan.shortfalls, is_empty(), "{tolerance:?}");
    }
}

#[gtest]
fn losses_that_no_group_bears_are_named() {
    let plan = tolerance(4, 1, 0).voter_plan(&zones(5, 1));
    expect_that!(plan.voter_count, eq(7));
    let too_many = ToleranceShortfall::Vms {
        wanted_count: 4,
        tolerated_count: 3,
    };
    expect_that!(plan.shortfalls, elements_are![eq(&too_many)]);

    let plan = tolerance(1, 1, 0).voter_plan(&zones(2, 1));
    expect_that!(plan.voter_count, eq(3));
    let too_few_zones = ToleranceShortfall::Zones {
        wanted_count: 1,
        zone_total: 2,
        voter_count: 3,
    };
    expect_that!(plan.shortfalls, elements_are![eq(&too_few_zones)]);

    let plan = tolerance(2, 1, 1).voter_plan(&zones(7, 2));
    let too_few_regions = ToleranceShortfall::Regions {
        wanted_count: 1,
        voter_count: 5,
    };
    expect_that!(plan.shortfalls, elements_are![eq(&too_few_regions)]);
    expect_that!(
        too_few_regions.to_string(),
        contains_substring("the loss of 1 regions is not borne by 5 voters")
    );
}

#[gtest]
fn absurd_counts_overflow_nothing() {
    let plan = tolerance(usize::MAX, usize::MAX, usize::MAX).voter_plan(&zones(3, 2));
    expect_that!(plan.voter_count, eq(7));
    expect_that!(plan.shortfalls.len(), eq(3));
}
