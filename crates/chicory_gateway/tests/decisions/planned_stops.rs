//! Tests which requests are taken and sent by an entry VM that is about to stop, without a network.

use std::time::Duration;

use chicory_gateway::{NextStep, RefusalReason};
use googletest::prelude::*;

use crate::support::{START, admit, gateway, refusal_of, table};

/// Requests that tests admit wait for a second, and their routes have this latency target.
const TARGET: Duration = Duration::from_millis(400);
/// An order and two requests that may be repeated, with their keys.
const REQUESTS: [(&str, Option<u16>); 3] = [
    ("/orders/x", None),
    ("/reads/x", Some(7)),
    ("/plans/x", None),
];

#[gtest]
fn requests_that_may_not_end_before_a_stop_are_refused() {
    let target = table(1)
        .routes
        .iter()
        .find_map(|route| route.latency_target);
    expect_that!(target, some(eq(TARGET)));
    for (path, key) in REQUESTS {
        let mut gateway = gateway();
        gateway.set_stopping(START + 2 * TARGET);
        admit(&mut gateway, path, key);
        gateway.set_stopping((START + 2 * TARGET).saturating_sub(Duration::from_millis(1)));
        let reason = refusal_of(&mut gateway, START, path, key);
        expect_that!(reason, eq(RefusalReason::Stopping), "{path}");
    }
}

/// Guards against requests that are sent to a server and broken off soon after, because their bodies
/// took most of the time before a stop to arrive.
#[gtest]
fn requests_whose_bodies_arrive_shortly_before_a_stop_are_refused_as_not_run() {
    for (path, key) in REQUESTS {
        let mut gateway = gateway();
        let mut ticket = admit(&mut gateway, path, key);
        let received_at = START + TARGET / 4;
        let latest = received_at + 2 * TARGET;
        gateway.set_stopping(latest.saturating_sub(Duration::from_millis(1)));
        let step = gateway.next_step(received_at, &mut ticket);
        let NextStep::Refuse(refusal) = step else {
            panic!("{path} led to {step:?}");
        };
        expect_that!(refusal.reason, eq(RefusalReason::Stopping), "{path}");
        expect_that!(refusal.may_have_run, eq(false), "{path}");
    }
}
