//! Large bodies of many callers on a thin link, beside small messages.

use std::time::Duration;

use chicory_policy::{BulkStep, BulkTurns};
use googletest::prelude::*;

/// A link of 2.3 Mbit/s.
const LINK_BYTES_PER_S: f64 = 287_500.0;
const BODY_BYTES: u64 = 60_000;
const CHUNK_BYTES: u64 = 8192;
const CALLER_TIME: Duration = Duration::from_secs(10);

/// Bytes that are handed to the link at a time.
#[derive(Clone, Copy, Debug)]
struct Burst {
    at_s: f64,
    bytes: u32,
}

/// Returns how long a small message would wait at most if it were handed to the link right after one
/// of these bursts, and the time at which the last burst has left the link.
fn longest_wait_s(bursts: &[Burst]) -> (f64, f64) {
    let mut free_at_s = 0.0_f64;
    let mut longest_s = 0.0_f64;
    for burst in bursts {
        free_at_s = free_at_s.max(burst.at_s) + f64::from(burst.bytes) / LINK_BYTES_PER_S;
        longest_s = longest_s.max(free_at_s - burst.at_s);
    }
    (longest_s, free_at_s)
}

/// Adds the chunks of one body, whose turn begins at `at_s`. Returns when the turn ends.
fn send_chunks(turns: &BulkTurns, mut at_s: f64, bursts: &mut Vec<Burst>) -> f64 {
    let mut left = BODY_BYTES;
    while left > 0 {
        let bytes = CHUNK_BYTES.min(left);
        left -= bytes;
        bursts.push(Burst {
            at_s,
            bytes: u32::try_from(bytes).expect("a chunk"),
        });
        at_s += turns.transfer_time(CHUNK_BYTES).as_secs_f64();
    }
    at_s
}

/// Guards against uploads that hold up everything else on the link: with ten of them at once, small
/// messages waited for two seconds.
#[gtest]
fn small_messages_pass_between_the_bodies_of_many_callers() {
    let body = Burst {
        at_s: 0.0,
        bytes: 60_000,
    };
    let (wait_s, end_s) = longest_wait_s(&[body; 10]);
    expect_that!(wait_s, gt(2.0));

    let mut turns = BulkTurns::new(LINK_BYTES_PER_S);
    for _ in 0..10 {
        expect_that!(turns.queue(BODY_BYTES, CALLER_TIME), eq(BulkStep::Queue));
    }
    let mut bursts = Vec::new();
    let mut at_s = 0.0;
    for _ in 0..10 {
        at_s = send_chunks(&turns, at_s, &mut bursts);
        turns.finish(BODY_BYTES);
    }
    let (paced_wait_s, paced_end_s) = longest_wait_s(&bursts);
    expect_that!(paced_wait_s, le(0.05));
    expect_that!(paced_end_s, le(end_s / 0.7));
}

/// Guards against bodies that are queued although they can't be transferred in time, and then hold up
/// others.
#[gtest]
fn a_body_that_would_be_too_late_is_refused_and_is_not_queued() {
    let mut turns = BulkTurns::new(LINK_BYTES_PER_S);
    let queued = (0..100).filter(|_| turns.queue(BODY_BYTES, CALLER_TIME) == BulkStep::Queue);
    let queued = queued.count();
    expect_that!(queued, all!(gt(30), lt(40)));
    let step = turns.queue(BODY_BYTES, CALLER_TIME);
    let BulkStep::TooLate { free_in } = step else {
        panic!("the link is busy for the whole time");
    };
    expect_that!(free_in, le(CALLER_TIME));
    for _ in 0..queued {
        turns.finish(BODY_BYTES);
    }
    expect_that!(turns.queue(BODY_BYTES, CALLER_TIME), eq(BulkStep::Queue));
}

/// Guards against a place in the queue that outlives a caller who has left.
#[gtest]
fn a_body_that_is_given_up_makes_room() {
    let mut turns = BulkTurns::new(LINK_BYTES_PER_S);
    let time_left = Duration::from_millis(600);
    expect_that!(turns.queue(BODY_BYTES, time_left), eq(BulkStep::Queue));
    expect_that!(turns.queue(BODY_BYTES, time_left), eq(BulkStep::Queue));
    let refused = turns.queue(BODY_BYTES, time_left);
    expect_that!(refused, matches_pattern!(BulkStep::TooLate { .. }));
    turns.finish(BODY_BYTES);
    expect_that!(turns.queue(BODY_BYTES, time_left), eq(BulkStep::Queue));
}

/// Guards against an idle link that refuses what the caller would wait for.
#[gtest]
fn a_body_on_an_idle_link_is_queued_whatever_its_size() {
    let mut turns = BulkTurns::new(LINK_BYTES_PER_S);
    let step = turns.queue(8 * 1024 * 1024, Duration::from_secs(1));
    expect_that!(step, eq(BulkStep::Queue));
}
