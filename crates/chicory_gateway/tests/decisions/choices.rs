//! Tests where requests are sent and how they are refused, without a network.

use std::time::Duration;

use crate::support::{
    START, admit, expect_sent, gateway, in_contact, metadata, owned, ranges, refusal_of, server,
    table,
};
use chicory_directory::{
    DirectoryPosition, DirectoryUpdate, LinkStatus, MovesChange, MovingRange, ServerState,
};
use chicory_gateway::{
    Admission, Gateway, GatewayConfig, NextStep, Recheck, RefusalReason, Target, UpdateOutcome,
};
use chicory_ranges::{KeyRange, ServerIncarnation};
use chicory_routes::{RouteTableDelta, RouteTarget, WeightedService};
use googletest::prelude::*;

#[gtest]
fn keyed_request_goes_to_the_owner() {
    let mut gateway = gateway();
    for (key, owner) in [(0, "a1"), (999, "a1"), (1000, "a2"), (65_535, "a2")] {
        let mut ticket = admit(&mut gateway, "/reads/x", Some(key));
        let target = expect_sent(gateway.next_step(START, &mut ticket));
        expect_that!(target.incarnation.server, eq(owner));
    }
}

#[gtest]
fn keyed_request_without_a_key_is_refused() {
    let mut gateway = gateway();
    let reason = refusal_of(&mut gateway, START, "/reads/x", None);
    expect_that!(reason, eq(RefusalReason::NoKey));
}

#[gtest]
fn entry_vm_is_ready_for_callers_only_in_contact_with_a_majority() {
    let mut gateway = gateway();
    let soon = START + Duration::from_millis(700);
    let later = START + Duration::from_secs(1);
    expect_that!(gateway.is_ready_and_in_contact(soon), eq(true));
    expect_that!(gateway.is_ready_and_in_contact(later), eq(false));
    // Requests that arrive nevertheless are served.
    expect_that!(gateway.is_ready(), eq(true));
    gateway.record_status(later, &LinkStatus::default());
    expect_that!(gateway.is_ready_and_in_contact(later), eq(false));
    gateway.record_status(later, &in_contact());
    expect_that!(gateway.is_ready_and_in_contact(later), eq(true));
}

#[gtest]
fn missing_route_is_reported_only_with_a_current_table() {
    let mut gateway = gateway();
    let reason = refusal_of(&mut gateway, START, "/nowhere/x", None);
    expect_that!(reason, eq(RefusalReason::NoRoute));
    let later = START + Duration::from_secs(3);
    let reason = refusal_of(&mut gateway, later, "/nowhere/x", None);
    expect_that!(reason, eq(RefusalReason::NoDirectory));
    let mut empty = Gateway::new(GatewayConfig::default());
    let reason = refusal_of(&mut empty, START, "/reads/x", Some(1));
    expect_that!(reason, eq(RefusalReason::NoDirectory));
}

#[gtest]
fn outdated_table_reports_no_missing_routes_and_serves_for_a_bounded_time() {
    let mut gateway = gateway();
    let own = gateway.directory().routes().version;
    let newer = LinkStatus {
        routes_version: own + 1,
        ..in_contact()
    };
    gateway.record_status(START, &newer);
    let reason = refusal_of(&mut gateway, START, "/nowhere/x", None);
    expect_that!(reason, eq(RefusalReason::RoutesBehind));
    admit(&mut gateway, "/reads/x", Some(1));
    // A table is guaranteed to be in force within two seconds, less the time of a
    // request in progress.
    let late = START + Duration::from_millis(1600);
    gateway.record_status(late, &newer);
    let reason = refusal_of(&mut gateway, late, "/reads/x", Some(1));
    expect_that!(reason, eq(RefusalReason::RoutesBehind));
    let update = DirectoryUpdate {
        version: 20,
        routes: Some(RouteTableDelta::whole(&table(own + 1))),
        ..DirectoryUpdate::default()
    };
    expect_that!(gateway.take_table_lag(), none());
    gateway.update(late, update);
    let lag = gateway.take_table_lag();
    expect_that!(lag, some(eq(Duration::from_millis(1600))));
    let reason = refusal_of(&mut gateway, late, "/nowhere/x", None);
    expect_that!(reason, eq(RefusalReason::NoRoute));
}

#[gtest]
fn table_that_a_newly_formed_group_lacks_is_not_waited_for() {
    let mut gateway = gateway();
    let own = gateway.directory().routes().version;
    let reported = |routes_version, is_in_contact| LinkStatus {
        routes_version,
        is_in_contact,
        ..in_contact()
    };
    gateway.record_status(START, &reported(own + 1, true));
    // The report of a member that lags behind is ignored.
    gateway.record_status(START, &reported(own, false));
    let reason = refusal_of(&mut gateway, START, "/nowhere/x", None);
    expect_that!(reason, eq(RefusalReason::RoutesBehind));
    gateway.record_status(START, &reported(own, true));
    let reason = refusal_of(&mut gateway, START, "/nowhere/x", None);
    expect_that!(reason, eq(RefusalReason::NoRoute));
}

#[gtest]
fn older_directory_changes_nothing() {
    let mut gateway = gateway();
    let newer = DirectoryUpdate {
        version: 9,
        routes: Some(RouteTableDelta::whole(&table(4))),
        ..DirectoryUpdate::default()
    };
    gateway.update(START, newer);
    let older = DirectoryUpdate {
        version: 7,
        is_full: true,
        routes: Some(RouteTableDelta::whole(&table(3))),
        ..DirectoryUpdate::default()
    };
    expect_that!(gateway.update(START, older), eq(UpdateOutcome::Older));
    expect_that!(gateway.directory().routes().version, eq(4));
    expect_that!(gateway.directory().servers().count(), eq(6));
}

#[gtest]
fn update_that_builds_on_another_table_changes_nothing() {
    let mut gateway = gateway();
    let position = gateway.directory().position();
    let unknown_base = DirectoryUpdate {
        version: 9,
        routes: Some(RouteTableDelta::between(&table(3), &table(4))),
        ..DirectoryUpdate::default()
    };
    expect_that!(
        gateway.update(START, unknown_base),
        eq(UpdateOutcome::UnknownBase)
    );
    expect_that!(gateway.directory().version(), eq(position.version));
    expect_that!(gateway.directory().routes().version, eq(1));
    // The whole directory is requested again, and is applied.
    expect_that!(
        gateway.directory().position(),
        eq(DirectoryPosition::default())
    );
    let everything = DirectoryUpdate {
        version: 9,
        is_full: true,
        routes: Some(RouteTableDelta::whole(&table(4))),
        ..DirectoryUpdate::default()
    };
    expect_that!(
        gateway.update(START, everything),
        eq(UpdateOutcome::Changed)
    );
    expect_that!(gateway.directory().position().version, eq(9));
}

#[gtest]
fn request_waits_while_its_key_moves() {
    let mut gateway = gateway();
    gateway.record_moves(MovesChange {
        begun: vec![MovingRange {
            service: "archive".into(),
            range: KeyRange::new(0, 100),
            fence: 1,
        }],
        ..MovesChange::default()
    });
    let mut ticket = admit(&mut gateway, "/reads/x", Some(50));
    let step = gateway.next_step(START, &mut ticket);
    expect_that!(step, matches_pattern!(NextStep::Wait(_)));
    let update = DirectoryUpdate {
        version: 6,
        ranges: ranges(vec![
            owned(0, 100, "a2", 3),
            owned(101, 999, "a1", 1),
            owned(1000, 65_535, "a2", 2),
        ]),
        ..DirectoryUpdate::default()
    };
    gateway.update(START, update);
    let target = expect_sent(gateway.next_step(START, &mut ticket));
    expect_that!(target.incarnation.server, eq("a2"));
}

#[gtest]
fn key_without_an_owner_is_refused_before_the_caller_times_out() {
    let mut gateway = gateway();
    let update = DirectoryUpdate {
        version: 6,
        removed: vec![ServerIncarnation::new("a1", 1)],
        ..DirectoryUpdate::default()
    };
    gateway.update(START, update);
    let mut ticket = admit(&mut gateway, "/reads/x", Some(1));
    let NextStep::Wait(until) = gateway.next_step(START, &mut ticket) else {
        panic!("expected a wait");
    };
    expect_that!(until, lt(START + Duration::from_millis(960)));
    let step = gateway.next_step(until, &mut ticket);
    let NextStep::Refuse(refusal) = step else {
        panic!("expected a refusal");
    };
    expect_that!(refusal.may_have_run, eq(false));
    expect_that!(refusal.retry_after, some(gt(Duration::ZERO)));
}

#[gtest]
fn draining_server_gets_no_new_work() {
    let mut gateway = gateway();
    let update = DirectoryUpdate {
        version: 6,
        servers: vec![server("l1", "library", ServerState::Draining)],
        ..DirectoryUpdate::default()
    };
    gateway.update(START, update);
    for _ in 0..20 {
        let mut ticket = admit(&mut gateway, "/plans/x", None);
        let target = expect_sent(gateway.next_step(START, &mut ticket));
        expect_that!(target.incarnation.server, eq("l2"));
    }
}

#[gtest]
fn draining_owner_of_a_key_gets_no_request_after_the_grace() {
    let mut gateway = gateway();
    let update = DirectoryUpdate {
        version: 6,
        servers: vec![server("a1", "archive", ServerState::Draining)],
        ..DirectoryUpdate::default()
    };
    gateway.update(START, update);
    let later = START + Duration::from_millis(1900);
    let admission = gateway.admit(later, "host", "/reads/x", &metadata(Some(1)));
    let Admission::Accepted(mut ticket) = admission else {
        panic!("refused");
    };
    let step = gateway.next_step(later, &mut ticket);
    expect_that!(step, matches_pattern!(NextStep::Wait(_)));
}

/// While a connection is being opened, the server may begin to drain or may leave.
#[gtest]
fn request_is_not_sent_to_a_server_that_left_while_connecting() {
    let mut gateway = gateway();
    let (drains, leaves) = (
        ServerIncarnation::new("l1", 1),
        ServerIncarnation::new("l2", 1),
    );
    let target = |incarnation: &ServerIncarnation| Target {
        incarnation: incarnation.clone(),
        address: ([10, 0, 0, 1], 8000).into(),
        attempt_deadline: START + Duration::from_secs(1),
        can_be_followed: false,
        max_idle: Duration::from_secs(1),
        connect_timeout: Duration::from_secs(1),
        settle_time: Duration::ZERO,
        has_permit: false,
        relay: None,
    };
    for incarnation in [&drains, &leaves] {
        let recheck = gateway.recheck(START, &target(incarnation));
        expect_that!(recheck, eq(Recheck::Send));
    }
    let update = DirectoryUpdate {
        version: 6,
        servers: vec![server("l1", "library", ServerState::Draining)],
        removed: vec![leaves.clone()],
        ..DirectoryUpdate::default()
    };
    gateway.update(START, update);
    let recheck = gateway.recheck(START, &target(&leaves));
    expect_that!(recheck, eq(Recheck::ServerLeft));
    let later = START + Duration::from_millis(1300);
    let recheck = gateway.recheck(later, &target(&drains));
    expect_that!(recheck, eq(Recheck::ServerLeft));
}

#[gtest]
fn split_route_divides_requests_by_weight() {
    let mut gateway = gateway();
    let mut split = table(2);
    let part = |service: &str, weight| WeightedService {
        service: service.into(),
        weight,
    };
    split.routes[1].target = RouteTarget::Split(vec![part("library", 75), part("ledger", 25)]);
    let update = DirectoryUpdate {
        version: 6,
        routes: Some(RouteTableDelta::whole(&split)),
        ..DirectoryUpdate::default()
    };
    gateway.update(START, update);
    let mut to_library = 0;
    for _ in 0..100 {
        let ticket = admit(&mut gateway, "/plans/x", None);
        to_library += u32::from(ticket.service() == "library");
    }
    expect_that!(to_library, eq(75));
}
