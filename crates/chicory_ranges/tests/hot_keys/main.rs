//! What callers of keyed services get while hot keys change, in virtual time.

mod load;
mod server;
mod world;

use googletest::prelude::*;
use load::HotKeys;
use world::{Outcome, World};

/// Hot keys of a deployment with 438 servers, as its operators describe them: for each server a hot
/// key or so has 0.4 of the reads in all, and others get hot every few seconds.
const MANY: HotKeys = HotKeys {
    keys_per_thousand_servers: 457,
    share: 0.4,
};
const FEW: HotKeys = HotKeys {
    keys_per_thousand_servers: 137,
    share: 0.38,
};
const NONE: HotKeys = HotKeys {
    keys_per_thousand_servers: 0,
    share: 0.0,
};

const SEEDS: [u64; 3] = [1, 2, 3];
const SEED_COUNT: f64 = 3.0;
/// Difference below which two plays count as equal.
const NOISE: f64 = 0.03;

/// Plays all seeds and returns the sum of their outcomes.
fn play(server_count: usize, hot_keys: HotKeys) -> Outcome {
    let mut sum = Outcome::default();
    for seed in SEEDS {
        sum.add(World::new(server_count, hot_keys, seed).play());
    }
    println!("{server_count} servers, {hot_keys:?}: {sum}");
    sum
}

/// With as many hot keys for each server, callers of a large deployment get as much in time as
/// those of a small one: what a plan moves grows with the number of servers.
#[gtest]
fn hot_keys_cost_callers_of_large_deployments_no_more_than_those_of_small_ones() {
    for hot_keys in [FEW, MANY] {
        let small = play(18, hot_keys).in_time_share();
        for server_count in [190, 438] {
            let large = play(server_count, hot_keys).in_time_share();
            expect_that!(large, ge(small - NOISE), "{server_count}, {hot_keys:?}");
        }
    }
}

/// Without hot keys the load of a server varies by chance alone, and moves help nobody.
#[gtest]
fn calm_load_moves_few_keys() {
    for server_count in [18, 190, 438] {
        let outcome = play(server_count, NONE);
        let key_count = f64::from(u16::MAX) * SEED_COUNT;
        let moved_share = f64::from(outcome.moved_keys) / key_count;
        expect_that!(moved_share, le(0.05), "{server_count}");
    }
}
