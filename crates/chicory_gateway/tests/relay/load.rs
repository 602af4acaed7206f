//! Tests of the limit of what an entry VM relays.

use std::time::Duration;

use chicory_gateway::{RelayAdmission, RelayLoad};
use googletest::prelude::*;

#[gtest]
fn requests_beyond_the_limit_are_refused_until_others_end() {
    let mut load = RelayLoad::default();
    let mut accepted = 0;
    while load.try_begin(0) == RelayAdmission::Accepted {
        accepted += 1;
    }
    expect_that!(accepted, eq(256));
    expect_that!(load.try_begin(0), eq(RelayAdmission::Full));
    load.end(0);
    expect_that!(load.try_begin(0), eq(RelayAdmission::Accepted));
}

#[gtest]
fn bodies_beyond_the_limit_are_refused_until_others_end() {
    const BODY_BYTES: u64 = 8 * 1024 * 1024;
    let mut load = RelayLoad::default();
    for _ in 0..4 {
        expect_that!(load.try_begin(BODY_BYTES), eq(RelayAdmission::Accepted));
    }
    expect_that!(load.try_begin(1), eq(RelayAdmission::Full));
    expect_that!(load.try_begin(0), eq(RelayAdmission::Accepted));
    expect_that!(load.try_begin(u64::MAX), eq(RelayAdmission::Full));
    load.end(BODY_BYTES);
    expect_that!(load.try_begin(BODY_BYTES), eq(RelayAdmission::Accepted));
}

#[gtest]
fn nothing_is_relayed_while_the_entry_vm_is_overloaded() {
    let mut load = RelayLoad::default();
    load.record_tick_lag(Duration::from_millis(51));
    expect_that!(load.try_begin(0), eq(RelayAdmission::Overloaded));
    load.record_tick_lag(Duration::from_millis(50));
    expect_that!(load.try_begin(0), eq(RelayAdmission::Accepted));
}
