//! Tests what servers of evacuated availability zones still get, in virtual time and without a
//! network.

use std::collections::BTreeSet;
use std::time::Duration;

use crate::reachability::{gateway_over_two_zones, gateway_over_two_zones_with};
use crate::support::{START, expect_sent, gateway_with, in_contact, metadata, owned, ranges};
use chicory_directory::{DirectoryUpdate, LinkStatus};
use chicory_gateway::{
    Admission, AttemptOutcome, FollowUpStep, Gateway, GatewayConfig, NextStep, ProbeResult,
    Recheck, Refusal, RefusalReason, RequestTicket,
};
use chicory_ranges::ServerIncarnation;
use chicory_routes::{RouteTableDelta, RouteTableVersion};
use googletest::prelude::*;

const GRACE: Duration = Duration::from_secs(3);
/// A moment at which the grace has not quite ended.
const SHORTLY_BEFORE_END: Duration = Duration::from_millis(2_999);
const MILLISECOND: Duration = Duration::from_millis(1);
/// A key whose owner is in the north, and one whose owner is in the south.
const NORTHERN_KEY: u16 = 1;
const SOUTHERN_KEY: u16 = 600;

fn zones(names: &[&str]) -> BTreeSet<String> {
    names.iter().map(|name| (*name).to_owned()).collect()
}

/// Tells the gateway which zones are evacuated.
fn evacuate(gateway: &mut Gateway, now: Duration, names: &[&str]) {
    let update = DirectoryUpdate {
        version: gateway.directory().version() + 1,
        last_fence: 9,
        evacuated_zones: Some(zones(names)),
        ..DirectoryUpdate::default()
    };
    gateway.update(now, update);
}

/// Applies an update that has nothing to do with evacuations.
fn change_something_else(gateway: &mut Gateway, now: Duration) {
    let update = DirectoryUpdate {
        version: gateway.directory().version() + 1,
        last_fence: 9,
        ..DirectoryUpdate::default()
    };
    gateway.update(now, update);
}

fn admit(gateway: &mut Gateway, now: Duration, path: &str, key: Option<u16>) -> RequestTicket {
    gateway.record_status(now, &in_contact());
    match gateway.admit(now, "host", path, &metadata(key)) {
        Admission::Accepted(ticket) => ticket,
        Admission::Refused(refusal) => panic!("refused: {refusal:?}"),
    }
}

fn step(gateway: &mut Gateway, now: Duration, path: &str, key: Option<u16>) -> NextStep {
    let mut ticket = admit(gateway, now, path, key);
    gateway.next_step(now, &mut ticket)
}

fn zone_of(gateway: &Gateway, server: &ServerIncarnation) -> String {
    let record = gateway.directory().server(server);
    record.expect("a known server").zone.clone()
}

/// Returns the zones that requests without a key are sent to.
fn zones_of_plans(gateway: &mut Gateway, now: Duration) -> BTreeSet<String> {
    (0..40)
        .map(|_| {
            let target = expect_sent(step(gateway, now, "/plans/x", None));
            zone_of(gateway, &target.incarnation)
        })
        .collect()
}

fn is_sent(gateway: &mut Gateway, now: Duration, key: u16) -> bool {
    let step = step(gateway, now, "/reads/x", Some(key));
    matches!(step, NextStep::Send(_))
}

fn refusal(step: NextStep) -> Refusal {
    match step {
        NextStep::Refuse(refusal) => refusal,
        other => panic!("expected a refusal, got {other:?}"),
    }
}

/// Guards against a grace for requests that any server may serve, and against an entry VM that
/// prefers its own zone although that is evacuated.
#[gtest]
fn requests_without_a_key_leave_the_zone_at_once_on_its_own_entry_vms_too() {
    for own_zone in ["north", "south"] {
        let config = GatewayConfig {
            zone: own_zone.into(),
            ..GatewayConfig::default()
        };
        let mut gateway = gateway_over_two_zones_with(config);
        expect_that!(
            zones_of_plans(&mut gateway, START),
            eq(&zones(&["north", "south"]))
        );
        evacuate(&mut gateway, START, &["north"]);
        expect_that!(zones_of_plans(&mut gateway, START), eq(&zones(&["south"])));
        evacuate(&mut gateway, START + MILLISECOND, &[]);
        let after = zones_of_plans(&mut gateway, START + MILLISECOND);
        expect_that!(after, eq(&zones(&["north", "south"])));
    }
}

/// Guards against keys that nobody serves while they move, and against requests that reach a server
/// of the zone when the bound of the order has passed.
#[gtest]
fn owner_of_a_key_in_the_zone_gets_requests_until_the_grace_ends() {
    let mut gateway = gateway_over_two_zones();
    evacuate(&mut gateway, START, &["north"]);
    for after in [Duration::ZERO, SHORTLY_BEFORE_END] {
        expect_true!(is_sent(&mut gateway, START + after, NORTHERN_KEY));
    }
    for after in [GRACE, GRACE * 2] {
        expect_false!(is_sent(&mut gateway, START + after, NORTHERN_KEY));
        expect_true!(is_sent(&mut gateway, START + after, SOUTHERN_KEY));
    }
    let now = START + GRACE;
    let mut ticket = admit(&mut gateway, now, "/reads/x", Some(NORTHERN_KEY));
    let waiting = gateway.next_step(now, &mut ticket);
    expect_that!(waiting, matches_pattern!(NextStep::Wait(_)));
    let update = DirectoryUpdate {
        version: gateway.directory().version() + 1,
        last_fence: 10,
        ranges: ranges(vec![owned(0, 499, "a3", 10)]),
        ..DirectoryUpdate::default()
    };
    gateway.update(now, update);
    let target = expect_sent(gateway.next_step(now, &mut ticket));
    expect_that!(target.incarnation.server, eq("a3"));
}

/// Guards against a fixed grace where operators set another bound.
#[gtest]
fn grace_follows_the_settings() {
    let config = GatewayConfig {
        evacuation_grace: Duration::ZERO,
        ..GatewayConfig::default()
    };
    let mut gateway = gateway_over_two_zones_with(config);
    evacuate(&mut gateway, START, &["north"]);
    expect_false!(is_sent(&mut gateway, START, NORTHERN_KEY));
}

/// Guards against a grace that begins anew with each update, and against updates that end an
/// evacuation because they say nothing about it.
#[gtest]
fn updates_neither_prolong_the_grace_nor_end_the_evacuation() {
    let mut gateway = gateway_over_two_zones();
    evacuate(&mut gateway, START, &["north"]);
    let later = START + SHORTLY_BEFORE_END;
    gateway.record_status(later, &in_contact());
    change_something_else(&mut gateway, later);
    evacuate(&mut gateway, later, &["north", "west"]);
    let full = DirectoryUpdate {
        version: gateway.directory().version() + 1,
        is_full: true,
        servers: gateway.directory().servers().cloned().collect(),
        last_fence: 9,
        ranges: ranges(vec![owned(0, 999, "a1", 8), owned(1000, 65_535, "a3", 9)]),
        evacuated_zones: Some(zones(&["north", "west"])),
        ..DirectoryUpdate::default()
    };
    gateway.update(later, full);
    expect_true!(is_sent(&mut gateway, later, NORTHERN_KEY));
    expect_false!(is_sent(&mut gateway, START + GRACE, NORTHERN_KEY));
    // A full update of an earlier release says nothing about evacuations.
    let full = DirectoryUpdate {
        version: gateway.directory().version() + 1,
        is_full: true,
        servers: gateway.directory().servers().cloned().collect(),
        ..DirectoryUpdate::default()
    };
    gateway.update(START + GRACE, full);
    let target = zones_of_plans(&mut gateway, START + GRACE);
    expect_that!(target, eq(&zones(&["south"])));
}

/// Guards against requests that are sent after the zone was evacuated because their server was
/// chosen before: opening a connection and reading a body take time.
#[gtest]
fn server_is_checked_again_before_a_request_is_sent() {
    let mut gateway = gateway_over_two_zones();
    evacuate(&mut gateway, START, &["south"]);
    let plan = expect_sent(step(&mut gateway, START, "/plans/x", None));
    let order = expect_sent(step(&mut gateway, START, "/orders/x", None));
    let read = expect_sent(step(&mut gateway, START, "/reads/x", Some(NORTHERN_KEY)));
    evacuate(&mut gateway, START, &["north"]);
    for target in [&plan, &order] {
        let result = gateway.recheck(START, target);
        expect_that!(result, eq(Recheck::ServerLeft));
    }
    expect_that!(gateway.recheck(START, &read), eq(Recheck::Send));
    let result = gateway.recheck(START + GRACE, &read);
    expect_that!(result, eq(Recheck::ServerLeft));
    evacuate(&mut gateway, START + GRACE, &[]);
    let result = gateway.recheck(START + GRACE, &plan);
    expect_that!(result, eq(Recheck::Send));
}

/// Guards against a second attempt in the zone that the first one was held back from.
#[gtest]
fn retries_and_follow_ups_go_to_other_zones() {
    for _ in 0..20 {
        let mut gateway = gateway_over_two_zones();
        evacuate(&mut gateway, START, &["south"]);
        let mut ticket = admit(&mut gateway, START, "/plans/x", None);
        let first = expect_sent(gateway.next_step(START, &mut ticket));
        evacuate(&mut gateway, START, &["north"]);
        let follow_up = gateway.follow_up_step(START, &ticket, &first, &[]);
        let FollowUpStep::Connect(follow_up) = follow_up else {
            panic!("a server that follows, not {follow_up:?}");
        };
        expect_that!(zone_of(&gateway, &follow_up.incarnation), eq("south"));
        let outcome = AttemptOutcome::Unreachable;
        expect_true!(gateway.record_attempt_end(START, &mut ticket, outcome));
        let second = expect_sent(gateway.next_step(START, &mut ticket));
        expect_that!(zone_of(&gateway, &second.incarnation), eq("south"));
    }
    // A server that was found before its zone was evacuated isn't sent to either.
    let mut gateway = gateway_over_two_zones();
    evacuate(&mut gateway, START, &["south"]);
    let mut ticket = admit(&mut gateway, START, "/plans/x", None);
    let first = expect_sent(gateway.next_step(START, &mut ticket));
    let mut northern = ["l1", "l2"]
        .map(|name| ServerIncarnation::new(name, 1))
        .into_iter();
    let other = northern.find(|server| *server != first.incarnation);
    ticket.set_follow_up(other.expect("another server"));
    evacuate(&mut gateway, START, &["north"]);
    gateway.record_attempt_end(START, &mut ticket, AttemptOutcome::Silent);
    let second = expect_sent(gateway.next_step(START, &mut ticket));
    expect_that!(zone_of(&gateway, &second.incarnation), eq("south"));
}

/// Guards against requests that wait although no server may get them, and against refusals without
/// the time to come back.
#[gtest]
fn requests_are_refused_at_once_if_all_zones_of_their_service_are_evacuated() {
    let mut gateway = gateway_over_two_zones();
    evacuate(&mut gateway, START, &["north", "south"]);
    let now = START + GRACE;
    for (path, key, reason) in [
        ("/plans/x", None, RefusalReason::NoServer),
        ("/orders/x", None, RefusalReason::NoServer),
        ("/reads/x", Some(NORTHERN_KEY), RefusalReason::NoOwner),
    ] {
        let refusal = refusal(step(&mut gateway, now, path, key));
        expect_that!(refusal.reason, eq(reason));
        expect_false!(refusal.may_have_run);
        // The caller has a second, of which a third may pass before it comes back.
        expect_that!(
            refusal.retry_after,
            some(all![gt(Duration::ZERO), le(Duration::from_millis(334))])
        );
    }
}

/// Guards against a grace that begins when an entry VM starts, or is in contact again, long after the
/// order was acknowledged.
#[gtest]
fn entry_vm_that_learns_of_an_old_order_grants_no_grace() {
    let mut restarted = Gateway::new(GatewayConfig::default());
    let known = gateway_over_two_zones();
    let directory = known.directory();
    let base: RouteTableVersion = 0;
    let mut routes = RouteTableDelta::whole(directory.routes());
    routes.base_version = base;
    let full = DirectoryUpdate {
        version: 20,
        is_full: true,
        last_fence: 9,
        routes: Some(routes),
        servers: directory.servers().cloned().collect(),
        ranges: ranges(vec![owned(0, 65_535, "a1", 9)]),
        evacuated_zones: Some(zones(&["north"])),
        ..DirectoryUpdate::default()
    };
    restarted.record_status(START, &in_contact());
    restarted.update(START, full.clone());
    expect_false!(is_sent(&mut restarted, START, NORTHERN_KEY));

    let mut returned = gateway_over_two_zones();
    returned.record_status(START, &LinkStatus::default());
    let now = START + Duration::from_secs(20);
    returned.record_status(now, &in_contact());
    returned.update(now, full);
    expect_false!(is_sent(&mut returned, now, NORTHERN_KEY));

    let mut short_gap = gateway_over_two_zones();
    let now = START + Duration::from_millis(900);
    short_gap.record_status(now, &in_contact());
    evacuate(&mut short_gap, now, &["north"]);
    expect_true!(is_sent(
        &mut short_gap,
        now + SHORTLY_BEFORE_END,
        NORTHERN_KEY
    ));
}

/// Guards against an order that is taken for an old one because there was a gap in contact long
/// before it.
#[gtest]
fn earlier_gap_in_contact_does_not_shorten_the_grace() {
    let mut gateway = gateway_over_two_zones();
    let now = START + Duration::from_secs(20);
    gateway.record_status(now, &in_contact());
    change_something_else(&mut gateway, now);
    evacuate(&mut gateway, now, &["north"]);
    expect_true!(is_sent(&mut gateway, now, NORTHERN_KEY));
    let mut unchanged = gateway_over_two_zones();
    unchanged.record_status(now, &in_contact());
    let mut later = now;
    for _ in 0..20 {
        later += Duration::from_millis(350);
        unchanged.record_status(later, &in_contact());
    }
    evacuate(&mut unchanged, later, &["north"]);
    expect_true!(is_sent(&mut unchanged, later, NORTHERN_KEY));
}

/// Guards against requests that were held back and count as failed connections: the zone's servers
/// would be probed, other entry VMs would relay, and the zone would be avoided after its evacuation.
#[gtest]
fn held_back_requests_say_nothing_about_the_path_to_the_servers() {
    let mut gateway = gateway_over_two_zones();
    evacuate(&mut gateway, START, &["south"]);
    let mut tickets = Vec::new();
    for _ in 0..10 {
        let mut ticket = admit(&mut gateway, START, "/orders/x", None);
        expect_sent(gateway.next_step(START, &mut ticket));
        tickets.push(ticket);
    }
    evacuate(&mut gateway, START, &["north"]);
    for mut ticket in tickets {
        let outcome = AttemptOutcome::Unreachable;
        expect_true!(gateway.record_attempt_end(START, &mut ticket, outcome));
    }
    expect_that!(gateway.next_probe_at(START), none());
    expect_true!(gateway.can_relay(START));
}

/// Guards against probes of servers that nothing is to be sent to, against a zone without probes that
/// keeps those of others from being sent, and against a cut zone that stays so after its evacuation.
#[gtest]
fn servers_of_evacuated_zones_are_not_probed() {
    let mut gateway = gateway_over_two_zones();
    // Two servers each in two zones can't be reached.
    for key in [NORTHERN_KEY, SOUTHERN_KEY, 1000, 1500] {
        let mut ticket = admit(&mut gateway, START, "/reads/x", Some(key));
        expect_sent(gateway.next_step(START, &mut ticket));
        let outcome = AttemptOutcome::Unreachable;
        gateway.record_attempt_end(START, &mut ticket, outcome);
    }
    evacuate(&mut gateway, START, &["north"]);
    let mut probed = 0;
    let mut now = START;
    for _ in 0..40 {
        now += Duration::from_millis(50);
        gateway.record_status(now, &in_contact());
        for record in gateway.take_probes(now) {
            probed += 1;
            expect_that!(record.zone, eq("south"));
            gateway.record_probe(now, &record.incarnation, ProbeResult::Answered);
        }
    }
    expect_that!(probed, gt(0));
    expect_that!(gateway.next_probe_at(now), none());
    evacuate(&mut gateway, now, &[]);
    let later = now + Duration::from_secs(5);
    expect_true!(is_sent(&mut gateway, later, NORTHERN_KEY));
}

/// Guards against a wrong start: without an order nothing differs.
#[gtest]
fn zones_without_servers_change_nothing() {
    let mut gateway = gateway_with(GatewayConfig::default());
    evacuate(&mut gateway, START, &["nowhere", ""]);
    expect_true!(is_sent(&mut gateway, START + GRACE * 2, NORTHERN_KEY));
    let count = gateway.directory().evacuations().zones().len();
    expect_that!(count, eq(2));
}
