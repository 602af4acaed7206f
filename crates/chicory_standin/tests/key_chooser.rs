//! The choice of keys for load.

use std::collections::BTreeMap;

use chicory_standin::load::{KeyChooser, KeyPattern};
use googletest::prelude::*;

fn count(pattern: KeyPattern, calls: usize) -> BTreeMap<String, usize> {
    let mut chooser = KeyChooser::new(7, 100, pattern);
    let mut counts = BTreeMap::new();
    for _ in 0..calls {
        *counts.entry(chooser.next_key()).or_default() += 1;
    }
    counts
}

#[gtest]
fn the_same_seed_gives_the_same_keys() {
    let pattern = KeyPattern::Zipf { exponent: 1.0 };
    expect_that!(count(pattern, 500), eq(&count(pattern, 500)));
}

#[gtest]
fn zipf_prefers_the_first_keys() {
    let counts = count(KeyPattern::Zipf { exponent: 1.0 }, 10_000);
    expect_that!(counts["k0"], gt(counts["k9"] * 5));
}

#[gtest]
fn the_hot_set_moves_on() {
    let pattern = KeyPattern::MovingHotSet {
        hot_keys: 1,
        hot_share: 1.0,
        calls_per_move: 10,
    };
    let counts = count(pattern, 30);
    let expected = ["k0", "k1", "k2"].map(|key| (key.to_owned(), 10));
    expect_that!(counts, eq(&BTreeMap::from(expected)));
}
