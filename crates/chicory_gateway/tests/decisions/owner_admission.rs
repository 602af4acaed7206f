//! Tests which requests for the keys of overloaded servers are sent, without a network.

use std::collections::BTreeSet;
use std::time::Duration;

use chicory_directory::{AdmittedFraction, DirectoryUpdate};
use chicory_gateway::{
    AttemptOutcome, Gateway, GatewayConfig, NextStep, Policy, Refusal, RefusalReason,
};
use chicory_ranges::ServerIncarnation;
use chicory_routes::RouteTableDelta;
use googletest::prelude::*;

use crate::support::{START, admit, expect_sent, gateway, gateway_with, table};

/// A key of the server `a1`, and one of `a2`.
const KEY: Option<u16> = Some(1);
const OTHER_KEY: Option<u16> = Some(2000);

fn tell(gateway: &mut Gateway, now: Duration, fraction: f64) -> Option<usize> {
    let admitted = AdmittedFraction {
        incarnation: ServerIncarnation::new("a1", 1),
        fraction,
    };
    gateway.record_owner_admission(now, vec![admitted])
}

/// Returns the refusals of a number of requests for a key.
fn refusals(gateway: &mut Gateway, now: Duration, key: Option<u16>, count: u32) -> Vec<Refusal> {
    let refusals = (0..count).filter_map(|_| {
        let mut ticket = admit(gateway, "/reads/x", key);
        match gateway.next_step(now, &mut ticket) {
            NextStep::Refuse(refusal) => Some(refusal),
            NextStep::Send(_) => None,
            NextStep::Wait(until) => panic!("waits until {until:?}"),
        }
    });
    refusals.collect()
}

#[gtest]
fn requests_beyond_the_fraction_are_refused_at_once_and_may_come_back() {
    let mut gateway = gateway();
    expect_that!(tell(&mut gateway, START, 0.25), some(eq(1)));
    let refused = refusals(&mut gateway, START, KEY, 40);
    expect_that!(refused.len(), all!(ge(29), le(31)));
    for refusal in &refused {
        expect_that!(refusal.reason, eq(RefusalReason::Overloaded));
        expect_that!(refusal.may_have_run, eq(false));
        // The caller has a second, of which a third may pass before it comes back.
        expect_that!(refusal.retry_after, some(le(Duration::from_millis(333))));
    }
    expect_that!(refusals(&mut gateway, START, OTHER_KEY, 40).len(), eq(0));
    expect_that!(gateway.take_admission_refusals(), eq(refused.len() as u64));
    expect_that!(gateway.take_admission_refusals(), eq(0));
}

/// Guards against throttling a request a second time for which the owner has already worked.
#[gtest]
fn retry_of_an_admitted_request_is_sent() {
    let mut gateway = gateway();
    let mut ticket = admit(&mut gateway, "/reads/x", KEY);
    expect_sent(gateway.next_step(START, &mut ticket));
    tell(&mut gateway, START, 0.05);
    expect_that!(refusals(&mut gateway, START, KEY, 10).len(), ge(9));
    let outcome = AttemptOutcome::WrongServer;
    let may_retry = gateway.record_attempt_end(START, &mut ticket, outcome);
    expect_that!(may_retry, eq(true));
    let later = START + Duration::from_millis(100);
    expect_sent(gateway.next_step(later, &mut ticket));
}

/// The leader is lost: nobody would raise the fraction again.
#[gtest]
fn fraction_expires_without_further_messages() {
    let mut gateway = gateway();
    tell(&mut gateway, START, 0.05);
    let valid_for = Duration::from_millis(1500);
    let last = START + Duration::from_millis(900);
    expect_that!(refusals(&mut gateway, last, KEY, 20).len(), ge(18));
    tell(&mut gateway, last.saturating_sub(valid_for), 0.05);
    expect_that!(refusals(&mut gateway, last, KEY, 20).len(), eq(0));
    expect_that!(gateway.limited_owner_count(last), eq(0));
}

#[gtest]
fn empty_message_ends_admission() {
    let mut gateway = gateway();
    tell(&mut gateway, START, 0.05);
    expect_that!(gateway.limited_owner_count(START), eq(1));
    expect_that!(tell(&mut gateway, START, 0.1), none());
    let ended = gateway.record_owner_admission(START, Vec::new());
    expect_that!(ended, some(eq(0)));
    expect_that!(refusals(&mut gateway, START, KEY, 20).len(), eq(0));
}

#[gtest]
fn more_urgent_requests_are_sent_first() {
    let mut gateway = gateway();
    let mut routes = table(2);
    let mut urgent = routes.routes[0].clone();
    routes.routes[0].priority = Some(1);
    urgent.name = "urgent".into();
    urgent.path_prefix = "/urgent/".into();
    urgent.priority = Some(0);
    routes.routes.push(urgent);
    let update = DirectoryUpdate {
        version: 6,
        last_fence: 2,
        is_full: false,
        routes: Some(RouteTableDelta::whole(&routes)),
        servers: Vec::new(),
        removed: Vec::new(),
        evacuated_zones: None,
        ranges: Vec::new(),
    };
    gateway.update(START, update);
    tell(&mut gateway, START, 0.5);
    let mut sent = [0, 0];
    for request in 0..80_u32 {
        let (path, rank) = if request % 4 == 0 {
            ("/urgent/x", 0)
        } else {
            ("/reads/x", 1)
        };
        let mut ticket = admit(&mut gateway, path, KEY);
        if matches!(gateway.next_step(START, &mut ticket), NextStep::Send(_)) {
            sent[rank] += 1;
        }
    }
    expect_that!(sent[0], ge(19));
    expect_that!(sent[0] + sent[1], all!(ge(38), le(42)));
}

#[gtest]
fn everything_is_sent_with_the_policy_switched_off() {
    let mut gateway = gateway_with(GatewayConfig {
        disabled_policies: BTreeSet::from([Policy::OwnerAdmission]),
        ..GatewayConfig::default()
    });
    tell(&mut gateway, START, 0.05);
    expect_that!(refusals(&mut gateway, START, KEY, 20).len(), eq(0));
    expect_that!(
        Policy::named("owner-admission"),
        some(eq(Policy::OwnerAdmission))
    );
}

/// A late message may name a server that has left.
#[gtest]
fn fraction_of_an_unknown_server_changes_nothing() {
    let mut gateway = gateway();
    let unknown = AdmittedFraction {
        incarnation: ServerIncarnation::new("a9", 3),
        fraction: 0.05,
    };
    gateway.record_owner_admission(START, vec![unknown]);
    expect_that!(refusals(&mut gateway, START, KEY, 20).len(), eq(0));
    expect_that!(gateway.limited_owner_count(START), eq(0));
}

/// The leader needs the number of requests at each owner, also where none was answered lately.
#[gtest]
fn report_names_owners_with_requests_in_flight() {
    let mut gateway = gateway();
    let mut keyed = admit(&mut gateway, "/reads/x", KEY);
    expect_sent(gateway.next_step(START, &mut keyed));
    let mut other = admit(&mut gateway, "/plans/x", None);
    expect_sent(gateway.next_step(START, &mut other));
    let report = gateway.take_report(START);
    expect_that!(report.accepts_owner_admission, eq(true));
    assert_that!(report.servers.len(), eq(1));
    expect_that!(report.servers[0].incarnation.server.as_str(), eq("a1"));
    expect_that!(report.servers[0].in_flight, eq(1));
    expect_that!(report.servers[0].answered, eq(0));
}
