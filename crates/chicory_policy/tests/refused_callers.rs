//! Callers that are refused together, played in virtual time.

use std::time::Duration;

use chicory_policy::{Outages, RetryAfter};
use googletest::prelude::*;

const PART: &str = "keys of a lost server";

fn at(millis: u64) -> Duration {
    Duration::from_secs(100) + Duration::from_millis(millis)
}

#[gtest]
fn callers_do_not_come_back_together_nor_too_late() {
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
    // One that has hardly any time left is not sent away for longer.
    let hurried = RetryAfter::new(expected_end).within(Duration::from_millis(90));
    expect_that!(hurried, le(Duration::from_millis(30)));
}

#[gtest]
fn short_move_is_waited_for_and_a_lost_server_is_not() {
    let mut outages = Outages::default();
    for millis in (0..700).step_by(50) {
        expect_that!(outages.record_unusable(at(millis), &PART), eq(false));
    }
    // Five seconds of requests, 20 a second: all but the first are refused at once.
    let refused = (800..5800).step_by(50);
    let refused = refused.filter(|millis| outages.record_unusable(at(*millis), &PART));
    expect_that!(refused.count(), eq(100));
    outages.record_usable(&PART);
    expect_that!(outages.record_unusable(at(6000), &PART), eq(false));
}

#[gtest]
fn few_requests_look_whether_an_unreachable_server_is_back() {
    let mut outages = Outages::default();
    expect_that!(outages.try_start_probe(at(0), &PART), eq(true));
    outages.record_unusable(at(0), &PART);
    let probes = (10..2000).step_by(10);
    let probes = probes.filter(|millis| outages.try_start_probe(at(*millis), &PART));
    let probes = probes.count();
    expect_that!(probes, all!(ge(4), le(10)));
}

#[gtest]
fn outage_that_nobody_met_lately_is_forgotten() {
    let mut outages = Outages::default();
    outages.record_unusable(at(0), &PART);
    outages.remove_expired(at(10_000));
    expect_that!(outages.record_unusable(at(10_000), &PART), eq(false));
}
