//! Callers that are refused together, in virtual time.

use std::time::Duration;

use chicory_policy::{Outages, RetryAfter};
use googletest::prelude::*;

const DOMAIN: &str = "keys of a lost server";

fn at(millis: u64) -> Duration {
    Duration::from_secs(100) + Duration::from_millis(millis)
}

#[gtest]
fn retry_after_times_are_spread_and_within_the_time_left() {
    let expected_end = Duration::from_millis(600);
    let time_left = Duration::from_secs(2);
    let times: Vec<Duration> = (0..10)
        .map(|caller| {
            let after = RetryAfter::new(expected_end).spread(f64::from(caller) / 10.0);
            after.within(time_left)
        })
        .collect();
    let spread = times[9].saturating_sub(times[0]);
    expect_that!(spread, gt(Duration::from_millis(150)));
    expect_that!(times, each(le(&(time_left / 3))));
    // A caller that has hardly any time left gets a shorter time.
    let short_of_time = RetryAfter::new(expected_end).within(Duration::from_millis(90));
    expect_that!(short_of_time, le(Duration::from_millis(30)));
}

#[gtest]
fn requests_wait_out_a_short_move_but_not_a_lost_server() {
    let mut outages = Outages::default();
    for millis in (0..700).step_by(50) {
        expect_that!(outages.record_unusable(at(millis), &DOMAIN), eq(false));
    }
    // Five seconds of requests, 20 a second: all are refused at once, as the outage lasts.
    let refused = (800..5800).step_by(50);
    let refused = refused.filter(|millis| outages.record_unusable(at(*millis), &DOMAIN));
    expect_that!(refused.count(), eq(100));
    outages.record_usable(&DOMAIN);
    expect_that!(outages.record_unusable(at(6000), &DOMAIN), eq(false));
}

#[gtest]
fn few_requests_probe_an_unreachable_server() {
    let mut outages = Outages::default();
    expect_that!(outages.try_start_probe(at(0), &DOMAIN), eq(true));
    outages.record_unusable(at(0), &DOMAIN);
    let probes = (10..2000).step_by(10);
    let probes = probes.filter(|millis| outages.try_start_probe(at(*millis), &DOMAIN));
    let probes = probes.count();
    expect_that!(probes, all!(ge(4), le(10)));
}

#[gtest]
fn outage_without_recent_requests_is_removed() {
    let mut outages = Outages::default();
    outages.record_unusable(at(0), &DOMAIN);
    outages.remove_expired(at(10_000));
    expect_that!(outages.record_unusable(at(10_000), &DOMAIN), eq(false));
}
