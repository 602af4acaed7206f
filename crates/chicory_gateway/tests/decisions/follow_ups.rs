//! Tests what follows an attempt that lasts too long, without a network.

use crate::support::{START, admit, expect_sent, gateway};
use chicory_directory::DirectoryUpdate;
use chicory_gateway::{AttemptOutcome, FollowUpStep, Gateway, RequestTicket, Target};
use chicory_ranges::ServerIncarnation;
use googletest::prelude::*;

/// Sends a request to one of two servers, and returns the other one with the request.
fn sent_plan(gateway: &mut Gateway) -> (RequestTicket, Target, ServerIncarnation) {
    let mut ticket = admit(gateway, "/plans/x", None);
    let target = expect_sent(gateway.next_step(START, &mut ticket));
    let servers = ["l1", "l2"].map(|id| ServerIncarnation::new(id, 1));
    let other = servers.into_iter().find(|id| *id != target.incarnation);
    (ticket, target, other.expect("another server"))
}

#[gtest]
fn attempt_that_lasts_too_long_is_followed_by_one_at_a_reachable_server() {
    let mut gateway = gateway();
    let (mut ticket, target, other) = sent_plan(&mut gateway);
    expect_true!(target.can_be_followed);
    let now = target.attempt_deadline;
    let step = gateway.follow_up_step(now, &ticket, &target, &[]);
    let FollowUpStep::Connect(follow_up) = step else {
        panic!("a server that follows, not {step:?}");
    };
    expect_that!(&follow_up.incarnation, eq(&other));
    expect_true!(gateway.take_follow_up_retry(now, &ticket));
    ticket.set_follow_up(other.clone());
    gateway.record_attempt_end(now, &mut ticket, AttemptOutcome::Silent);
    let second = expect_sent(gateway.next_step(now, &mut ticket));
    expect_that!(second.incarnation, eq(&other));
    // No third server may follow.
    expect_false!(second.can_be_followed);
}

#[gtest]
fn attempt_goes_on_while_no_other_server_can_be_reached() {
    let mut gateway = gateway();
    let (ticket, target, other) = sent_plan(&mut gateway);
    let now = target.attempt_deadline;
    let failed = std::slice::from_ref(&other);
    let step = gateway.follow_up_step(now, &ticket, &target, failed);
    expect_that!(step, eq(&FollowUpStep::Continue));
    // The server that refused the connection is paused for requests that come next, too.
    gateway.record_failed_follow_up(now, &other, AttemptOutcome::Refused);
    let step = gateway.follow_up_step(now, &ticket, &target, &[]);
    expect_that!(step, eq(&FollowUpStep::Continue));
}

/// Servers that leave finish what they run.
#[gtest]
fn attempt_at_a_server_that_has_left_goes_on_while_no_other_can_be_reached() {
    let mut gateway = gateway();
    let (ticket, target, other) = sent_plan(&mut gateway);
    let update = DirectoryUpdate {
        version: 6,
        removed: vec![target.incarnation.clone()],
        ..DirectoryUpdate::default()
    };
    gateway.update(START, update);
    let now = target.attempt_deadline;
    let step = gateway.follow_up_step(now, &ticket, &target, &[other]);
    expect_that!(step, eq(&FollowUpStep::Continue));
}

#[gtest]
fn order_is_never_followed_by_another_attempt() {
    let mut gateway = gateway();
    let mut ticket = admit(&mut gateway, "/orders/x", None);
    let target = expect_sent(gateway.next_step(START, &mut ticket));
    expect_false!(target.can_be_followed);
}
