//! Where requests go and what callers are told, without a network.

use std::time::Duration;

use crate::support::{
    START, arrive, gateway, in_contact, metadata, owned, ranges, refusal_of, sent, server, table,
};
use chicory_directory::{
    DirectoryMark, DirectoryUpdate, LinkStatus, MovesChange, MovingRange, ServerState,
};
use chicory_gateway::{Arrival, Gateway, GatewayConfig, NextStep, RefusalReason, UpdateOutcome};
use chicory_ranges::{KeyRange, ServerIncarnation};
use chicory_routes::{RouteTableDelta, RouteTarget, WeightedService};
use googletest::prelude::*;

#[gtest]
fn keyed_request_goes_to_the_owner() {
    let mut gateway = gateway();
    for (key, owner) in [(0, "a1"), (999, "a1"), (1000, "a2"), (65_535, "a2")] {
        let mut ticket = arrive(&mut gateway, "/reads/x", Some(key));
        let target = sent(gateway.next_step(START, &mut ticket));
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
fn entry_vm_is_fit_only_in_contact_with_a_majority() {
    let mut gateway = gateway();
    let soon = START + Duration::from_millis(700);
    let later = START + Duration::from_secs(1);
    expect_that!(gateway.is_fit(soon), eq(true));
    expect_that!(gateway.is_fit(later), eq(false));
    // Requests that come all the same are served.
    expect_that!(gateway.is_ready(), eq(true));
    gateway.note_status(later, &LinkStatus::default());
    expect_that!(gateway.is_fit(later), eq(false));
    gateway.note_status(later, &in_contact());
    expect_that!(gateway.is_fit(later), eq(true));
}

#[gtest]
fn unknown_route_is_denied_only_with_a_current_table() {
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
fn table_that_is_known_to_be_old_denies_nothing_and_serves_for_a_bounded_time() {
    let mut gateway = gateway();
    let own = gateway.directory().routes().version;
    let newer = LinkStatus {
        routes_version: own + 1,
        ..in_contact()
    };
    gateway.note_status(START, &newer);
    let reason = refusal_of(&mut gateway, START, "/nowhere/x", None);
    expect_that!(reason, eq(RefusalReason::RoutesBehind));
    arrive(&mut gateway, "/reads/x", Some(1));
    // The bound of two seconds less the time of a request that is under way.
    let late = START + Duration::from_millis(1600);
    gateway.note_status(late, &newer);
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
fn table_that_a_group_set_up_anew_never_had_is_not_waited_for() {
    let mut gateway = gateway();
    let own = gateway.directory().routes().version;
    let told = |routes_version, is_in_contact| LinkStatus {
        routes_version,
        is_in_contact,
        ..in_contact()
    };
    gateway.note_status(START, &told(own + 1, true));
    // A member that lags has no say.
    gateway.note_status(START, &told(own, false));
    let reason = refusal_of(&mut gateway, START, "/nowhere/x", None);
    expect_that!(reason, eq(RefusalReason::RoutesBehind));
    gateway.note_status(START, &told(own, true));
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
    let mark = gateway.directory().mark();
    let unfit = DirectoryUpdate {
        version: 9,
        routes: Some(RouteTableDelta::between(&table(3), &table(4))),
        ..DirectoryUpdate::default()
    };
    expect_that!(gateway.update(START, unfit), eq(UpdateOutcome::Unfit));
    expect_that!(gateway.directory().version(), eq(mark.version));
    expect_that!(gateway.directory().routes().version, eq(1));
    // Everything is asked for anew, and is taken.
    expect_that!(gateway.directory().mark(), eq(DirectoryMark::default()));
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
    expect_that!(gateway.directory().mark().version, eq(9));
}

#[gtest]
fn request_waits_while_its_key_is_on_its_way() {
    let mut gateway = gateway();
    gateway.note_moves(MovesChange {
        begun: vec![MovingRange {
            service: "archive".into(),
            range: KeyRange::new(0, 100),
            fence: 1,
        }],
        ..MovesChange::default()
    });
    let mut ticket = arrive(&mut gateway, "/reads/x", Some(50));
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
    let target = sent(gateway.next_step(START, &mut ticket));
    expect_that!(target.incarnation.server, eq("a2"));
}

#[gtest]
fn key_without_an_owner_is_refused_before_the_caller_gives_up() {
    let mut gateway = gateway();
    let update = DirectoryUpdate {
        version: 6,
        removed: vec![ServerIncarnation::new("a1", 1)],
        ..DirectoryUpdate::default()
    };
    gateway.update(START, update);
    let mut ticket = arrive(&mut gateway, "/reads/x", Some(1));
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
        let mut ticket = arrive(&mut gateway, "/plans/x", None);
        let target = sent(gateway.next_step(START, &mut ticket));
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
    let arrival = gateway.arrive(later, "host", "/reads/x", &metadata(Some(1)));
    let Arrival::Accepted(mut ticket) = arrival else {
        panic!("refused");
    };
    let step = gateway.next_step(later, &mut ticket);
    expect_that!(step, matches_pattern!(NextStep::Wait(_)));
}

/// While a connection comes about the server may begin to drain, or leave.
#[gtest]
fn request_is_not_sent_to_a_server_that_left_meanwhile() {
    let mut gateway = gateway();
    let (drains, leaves) = (
        ServerIncarnation::new("l1", 1),
        ServerIncarnation::new("l2", 1),
    );
    for incarnation in [&drains, &leaves] {
        expect_that!(gateway.may_still_send(START, incarnation), eq(true));
    }
    let update = DirectoryUpdate {
        version: 6,
        servers: vec![server("l1", "library", ServerState::Draining)],
        removed: vec![leaves.clone()],
        ..DirectoryUpdate::default()
    };
    gateway.update(START, update);
    expect_that!(gateway.may_still_send(START, &leaves), eq(false));
    let later = START + Duration::from_millis(1300);
    expect_that!(gateway.may_still_send(later, &drains), eq(false));
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
        let ticket = arrive(&mut gateway, "/plans/x", None);
        to_library += u32::from(ticket.service() == "library");
    }
    expect_that!(to_library, eq(75));
}
