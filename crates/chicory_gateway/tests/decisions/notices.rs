//! Tests what follows from what servers state about themselves, without a network.

use std::time::Duration;

use crate::support::{START, admit, expect_sent, gateway, in_contact, owned, ranges, server};
use chicory_directory::{DirectoryUpdate, EntryReport, LinkStatus, ServerState};
use chicory_gateway::{
    AttemptOutcome, Gateway, LeavingNotice, LimitNotice, NextStep, Recheck, RefusalReason,
    RestNotice, ServerNotices,
};
use chicory_ranges::ServerIncarnation;
use googletest::prelude::*;

const REST: Duration = Duration::from_secs(3);

fn rest(gateway: &mut Gateway, now: Duration, name: &str) {
    let notices = ServerNotices {
        rest: RestNotice::For(REST),
        ..ServerNotices::default()
    };
    gateway.record_rest(now, &ServerIncarnation::new(name, 1), &notices);
}

fn name_limit(gateway: &mut Gateway, name: &str) {
    let notices = ServerNotices {
        limit: LimitNotice::PerSecond(0.1),
        ..ServerNotices::default()
    };
    gateway.record_limit(START, &ServerIncarnation::new(name, 1), START, &notices);
}

#[gtest]
fn request_for_a_key_of_a_resting_server_is_refused_at_once() {
    let mut gateway = gateway();
    rest(&mut gateway, START, "a1");
    let mut ticket = admit(&mut gateway, "/reads/x", Some(1));
    let NextStep::Refuse(refusal) = gateway.next_step(START, &mut ticket) else {
        panic!("not refused");
    };
    expect_that!(refusal.reason, eq(RefusalReason::ServerResting));
    expect_that!(refusal.may_have_run, eq(false));
    // The caller has a second, of which a third may pass before it comes back.
    expect_that!(refusal.retry_after, some(eq(Duration::from_millis(330))));
    let mut other_key = admit(&mut gateway, "/reads/x", Some(2000));
    expect_sent(gateway.next_step(START, &mut other_key));
}

#[gtest]
fn request_that_a_resting_server_turned_away_is_not_sent_again_to_it() {
    let mut gateway = gateway();
    let mut ticket = admit(&mut gateway, "/reads/x", Some(1));
    expect_sent(gateway.next_step(START, &mut ticket));
    rest(&mut gateway, START, "a1");
    let may_retry = gateway.record_attempt_end(START, &mut ticket, AttemptOutcome::Shed);
    expect_that!(may_retry, eq(false));
    let refusal = gateway.final_refusal(START, &ticket, AttemptOutcome::Shed);
    expect_that!(refusal.reason, eq(RefusalReason::ServerResting));
}

#[gtest]
fn request_without_a_key_goes_to_a_server_that_does_not_rest() {
    let mut gateway = gateway();
    rest(&mut gateway, START, "l1");
    for _ in 0..10 {
        let mut ticket = admit(&mut gateway, "/plans/x", None);
        let target = expect_sent(gateway.next_step(START, &mut ticket));
        expect_that!(target.incarnation.server, eq("l2"));
    }
    rest(&mut gateway, START, "l2");
    let mut ticket = admit(&mut gateway, "/plans/x", None);
    let step = gateway.next_step(START, &mut ticket);
    expect_that!(step, matches_pattern!(NextStep::Refuse(_)));
}

#[gtest]
fn request_that_waits_for_a_connection_is_withheld_when_the_server_asks_for_rest_or_names_a_limit()
{
    let notices: [fn(&mut Gateway); 2] = [
        |gateway| rest(gateway, START, "o1"),
        |gateway| name_limit(gateway, "o1"),
    ];
    for notice in notices {
        let mut gateway = gateway();
        rest(&mut gateway, START, "o2");
        let mut ticket = admit(&mut gateway, "/orders/x", None);
        let target = expect_sent(gateway.next_step(START, &mut ticket));
        expect_that!(gateway.recheck(START, &target), eq(Recheck::Send));
        notice(&mut gateway);
        expect_that!(gateway.recheck(START, &target), eq(Recheck::Withhold));
        expect_that!(AttemptOutcome::Withheld.may_have_run(), eq(false));
    }
}

#[gtest]
fn rest_wins_over_a_limit() {
    let mut gateway = gateway();
    name_limit(&mut gateway, "a1");
    rest(&mut gateway, START, "a1");
    let mut ticket = admit(&mut gateway, "/reads/x", Some(1));
    let NextStep::Refuse(refusal) = gateway.next_step(START, &mut ticket) else {
        panic!("not refused");
    };
    expect_that!(refusal.reason, eq(RefusalReason::ServerResting));
}

#[gtest]
fn next_incarnation_has_neither_the_rest_nor_the_limit_of_the_former_one() {
    let mut gateway = gateway();
    name_limit(&mut gateway, "a1");
    rest(&mut gateway, START, "a1");
    let mut restarted = server("a1", "archive", ServerState::Ready);
    restarted.incarnation = ServerIncarnation::new("a1", 2);
    let mut owned_again = owned(0, 999, "a1", 3);
    owned_again.owner = restarted.incarnation.clone();
    let update = DirectoryUpdate {
        version: 6,
        last_fence: 3,
        servers: vec![restarted],
        ranges: ranges(vec![owned_again]),
        ..DirectoryUpdate::default()
    };
    gateway.update(START, update);
    let mut ticket = admit(&mut gateway, "/reads/x", Some(1));
    let target = expect_sent(gateway.next_step(START, &mut ticket));
    expect_that!(target.has_permit, eq(false));
    // A late answer of the former incarnation changes nothing.
    rest(&mut gateway, START, "a1");
    name_limit(&mut gateway, "a1");
    let mut ticket = admit(&mut gateway, "/reads/x", Some(1));
    expect_sent(gateway.next_step(START, &mut ticket));
}

fn leave(gateway: &mut Gateway, name: &str) {
    let notices = ServerNotices {
        leaving: LeavingNotice::Leaving,
        ..ServerNotices::default()
    };
    gateway.record_leaving(START, &ServerIncarnation::new(name, 1), &notices);
}

#[gtest]
fn server_that_said_that_it_leaves_is_not_ready_again_by_what_control_vms_say() {
    let mut gateway = gateway();
    leave(&mut gateway, "l1");
    leave(&mut gateway, "a1");
    let update = DirectoryUpdate {
        version: 6,
        servers: vec![
            server("l1", "library", ServerState::Ready),
            server("a1", "archive", ServerState::Ready),
        ],
        ..DirectoryUpdate::default()
    };
    gateway.update(START, update);
    for _ in 0..10 {
        let mut ticket = admit(&mut gateway, "/plans/x", None);
        let target = expect_sent(gateway.next_step(START, &mut ticket));
        expect_that!(target.incarnation.server, eq("l2"));
    }
    // The owner of a key gets requests until other servers may have its keys.
    let mut ticket = admit(&mut gateway, "/reads/x", Some(1));
    expect_sent(gateway.next_step(START, &mut ticket));
    let later = START + Duration::from_millis(1_300);
    let mut ticket = admit(&mut gateway, "/reads/x", Some(1));
    let step = gateway.next_step(later, &mut ticket);
    expect_that!(step, not(matches_pattern!(NextStep::Send(_))));
}

#[gtest]
fn servers_that_leave_are_reported_once_to_each_control_vm() {
    let mut gateway = gateway();
    leave(&mut gateway, "a1");
    leave(&mut gateway, "a1");
    let expected = vec![ServerIncarnation::new("a1", 1)];
    expect_that!(gateway.take_report(START).leaving, eq(&expected));
    expect_that!(gateway.take_report(START).leaving.len(), eq(0));
    gateway.record_new_control_vm();
    expect_that!(gateway.take_report(START).leaving, eq(&expected));
}

#[gtest]
fn notices_are_reported_again_once_the_control_vm_that_is_followed_leads() {
    let mut gateway = gateway();
    name_limit(&mut gateway, "a1");
    rest(&mut gateway, START, "a2");
    leave(&mut gateway, "l1");
    let is_complete = |report: EntryReport| {
        (
            report.limits.len(),
            report.rests.len(),
            report.leaving.len(),
        ) == (1, 1, 1)
    };
    expect_that!(is_complete(gateway.take_report(START)), eq(true));
    gateway.record_status(START, &in_contact());
    expect_that!(is_complete(gateway.take_report(START)), eq(false));
    // While there is no leader, a control VM states that nobody follows a leader.
    gateway.record_status(START, &LinkStatus::default());
    expect_that!(is_complete(gateway.take_report(START)), eq(false));
    gateway.record_status(START, &in_contact());
    expect_that!(is_complete(gateway.take_report(START)), eq(true));
}
