//! Tests which requests are admitted by an entry VM that is about to stop, without a network.

use std::time::Duration;

use chicory_gateway::RefusalReason;
use googletest::prelude::*;

use crate::support::{START, admit, gateway, refusal_of, table};

/// Requests that tests admit wait for a second, and their routes have this latency target.
const TARGET: Duration = Duration::from_millis(400);

#[gtest]
fn orders_that_may_not_end_before_a_stop_are_refused() {
    let target = table(1)
        .routes
        .iter()
        .find_map(|route| route.latency_target);
    expect_that!(target, some(eq(TARGET)));
    let mut gateway = gateway();
    gateway.set_stopping(START + 2 * TARGET);
    admit(&mut gateway, "/orders/x", None);
    gateway.set_stopping((START + 2 * TARGET).saturating_sub(Duration::from_millis(1)));
    let reason = refusal_of(&mut gateway, START, "/orders/x", None);
    expect_that!(reason, eq(RefusalReason::Stopping));
    // Others can be sent again elsewhere if they are cut off.
    admit(&mut gateway, "/reads/x", Some(7));
    admit(&mut gateway, "/plans/x", None);
}
