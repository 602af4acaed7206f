//! Tests of what a run records to explain a violation.

use std::net::SocketAddr;
use std::time::Duration;

use googletest::prelude::*;
use soak::{ProcessUsage, UnservedRequests};

#[gtest]
fn usage_is_read_from_the_line_of_a_program_with_spaces_in_its_name() {
    let stat = "4711 (a (odd) name) D 1 2 3 0 -1 4194304 10 0 0 0 250 50 0 0 20 0 9 0 100 8 9";
    let usage = ProcessUsage {
        state: 'D',
        cpu_time: Duration::from_secs(3),
    };
    expect_that!(ProcessUsage::from_stat(stat, 100), some(eq(usage)));
}

#[gtest]
fn malformed_usage_is_not_read() {
    expect_that!(ProcessUsage::from_stat("", 100), none());
    expect_that!(ProcessUsage::from_stat("4711 (name) S 1 2", 100), none());
    let stat = "4711 (name) S 1 2 3 0 -1 0 10 0 0 0 many 50 0 0";
    expect_that!(ProcessUsage::from_stat(stat, 100), none());
}

#[gtest]
fn unserved_requests_are_counted_by_entry_route_outcome_and_duration() {
    let [one, other] = [[127, 0, 0, 1], [127, 0, 0, 2]].map(|ip| SocketAddr::from((ip, 7600)));
    let mut unserved = UnservedRequests::default();
    expect_that!(
        unserved.to_string(),
        eq("no request ended without being served")
    );
    unserved.record(
        one,
        "/orders/7?x=1",
        "TimedOut",
        Duration::from_millis(1501),
    );
    unserved.record(
        one,
        "/orders/8?x=1",
        "TimedOut",
        Duration::from_millis(1999),
    );
    unserved.record(other, "/reads/9", "503", Duration::from_millis(2));
    expect_that!(
        unserved.to_string(),
        eq(
            "2 orders at 127.0.0.1:7600 ended with TimedOut after 1500 ms or more; \
            1 reads at 127.0.0.2:7600 ended with 503 after 0 ms or more"
        )
    );
}
