//! Large bodies of many callers on a thin link, beside small messages.

use std::time::Duration;

use chicory_policy::{BulkStep, BulkTurns};
use googletest::prelude::*;

/// A link of 2.3 Mbit/s.
const LINK_BYTES_PER_S: f64 = 287_500.0;
const BODY_BYTES: u64 = 60_000;
const CHUNK_BYTES: f64 = 8192.0;
const CALLER_TIME: Duration = Duration::from_secs(10);

/// Bytes that arrive at the link at a time.
#[derive(Clone, Copy, Debug)]
struct Burst {
    at_s: f64,
    bytes: f64,
}

/// Returns the longest time that a small message waits behind these bursts if one is sent each
/// 10 ms, and the time at which the last burst has left the link.
fn longest_wait_s(mut bursts: Vec<Burst>) -> (f64, f64) {
    bursts.sort_by(|one, other| one.at_s.total_cmp(&other.at_s));
    let mut free_at_s = 0.0_f64;
    let mut longest_s = 0.0_f64;
    for burst in &bursts {
        free_at_s = free_at_s.max(burst.at_s) + burst.bytes / LINK_BYTES_PER_S;
        longest_s = longest_s.max(free_at_s - burst.at_s);
    }
    (longest_s, free_at_s)
}

/// Returns the chunks of a body whose turn begins at this time.
fn chunks_of(turns: &BulkTurns, begin_at: Duration) -> Vec<Burst> {
    let period_s = turns.transfer_time(8192).as_secs_f64();
    let count = (60_000.0 / CHUNK_BYTES).ceil();
    let mut chunks = Vec::new();
    let mut index = 0.0;
    while index < count {
        chunks.push(Burst {
            at_s: begin_at.as_secs_f64() + index * period_s,
            bytes: CHUNK_BYTES.min(60_000.0 - index * CHUNK_BYTES),
        });
        index += 1.0;
    }
    chunks
}

/// Guards against uploads that hold up everything else on the link: with ten of them at once, small
/// messages waited for two seconds.
#[gtest]
fn small_messages_pass_between_the_bodies_of_many_callers() {
    let at_once = vec![
        Burst {
            at_s: 0.0,
            bytes: 60_000.0
        };
        10
    ];
    let (wait_s, end_s) = longest_wait_s(at_once);
    expect_that!(wait_s, gt(2.0));

    let mut turns = BulkTurns::new(LINK_BYTES_PER_S);
    let mut bursts = Vec::new();
    for _ in 0..10 {
        let step = turns.reserve(Duration::ZERO, BODY_BYTES, CALLER_TIME);
        let BulkStep::BeginAt(begin_at) = step else {
            panic!("all ten bodies are in time");
        };
        bursts.extend(chunks_of(&turns, begin_at));
    }
    let (paced_wait_s, paced_end_s) = longest_wait_s(bursts);
    expect_that!(paced_wait_s, le(0.05));
    expect_that!(paced_end_s, le(end_s / 0.75));
}

/// Guards against bodies that are taken although they can't be transferred in time, and then hold up
/// others.
#[gtest]
fn a_body_that_would_be_too_late_is_refused_and_takes_no_turn() {
    let mut turns = BulkTurns::new(LINK_BYTES_PER_S);
    for _ in 0..100 {
        turns.reserve(Duration::ZERO, BODY_BYTES, CALLER_TIME);
    }
    let step = turns.reserve(Duration::ZERO, BODY_BYTES, CALLER_TIME);
    let BulkStep::TooLate(retry_after) = step else {
        panic!("the link is reserved for the whole time");
    };
    expect_that!(retry_after, gt(Duration::from_secs(9)));
    // The refused ones reserved nothing.
    let later = CALLER_TIME;
    let step = turns.reserve(later, BODY_BYTES, later + CALLER_TIME);
    expect_that!(step, eq(BulkStep::BeginAt(later)));
}

/// Guards against a wait on an idle link.
#[gtest]
fn a_body_on_an_idle_link_begins_at_once() {
    let mut turns = BulkTurns::new(LINK_BYTES_PER_S);
    let now = Duration::from_secs(50);
    let step = turns.reserve(now, BODY_BYTES, now + CALLER_TIME);
    expect_that!(step, eq(BulkStep::BeginAt(now)));
}
