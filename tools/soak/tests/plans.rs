//! Tests that the plans of regression cases stay as they are.

use googletest::prelude::*;
use soak::Plan;

/// Returns the FNV-1a hash of a text.
fn hash_of(text: &str) -> u64 {
    text.bytes().fold(0xcbf2_9ce4_8422_2325, |hash, byte| {
        (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3)
    })
}

/// Guards against new kinds of faults that change the plans of seeds which are regression cases.
#[gtest]
fn plans_of_earlier_seeds_stay_as_they_are() {
    let plans = (1..=50).chain([101, 124, 300, 5015, 9999]);
    let plans = plans.map(|seed| Plan::from_seed(seed, 2, 4, 12).to_string());
    let all: String = plans.collect();
    expect_that!(hash_of(&all), eq(2_490_023_421_831_562_590));
}

#[gtest]
fn later_seeds_have_evacuations_false_load_and_cold_starts_in_each_round() {
    for seed in [10_000, 10_001] {
        let plan = Plan::from_seed(seed, 3, 4, 12).to_string();
        let count = |text: &str| plan.lines().filter(|line| line.contains(text)).count();
        expect_that!(count("Evacuate"), eq(6));
        expect_that!(count("StatesLoad"), eq(9));
        expect_that!(count("Replace"), ge(9));
    }
}
