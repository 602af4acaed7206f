//! Where requests go and what callers are told, without a network.

use std::net::SocketAddr;
use std::time::Duration;

use chicory_directory::{
    DirectoryUpdate, LinkStatus, MovingRange, ServerRecord, ServerState, ServiceRanges,
};
use chicory_gateway::{
    Arrival, AttemptOutcome, CallerFacts, Gateway, GatewayConfig, NextStep, RefusalReason,
    RequestTicket, Target,
};
use chicory_ranges::{KeyRange, OwnedRange, ServerLife};
use chicory_routes::{RequestKind, Route, RouteTable, RouteTarget, RoutedService, WeightedService};
use googletest::prelude::*;

const START: Duration = Duration::from_secs(10);

fn route(name: &str, service: &str, kind: RequestKind) -> Route {
    Route {
        name: name.into(),
        host: "host".into(),
        path_prefix: format!("/{name}/"),
        kind,
        timeout: Some(Duration::from_secs(1)),
        latency_target: Some(Duration::from_millis(400)),
        priority: None,
        max_attempts: Some(2),
        target: RouteTarget::Service(service.into()),
    }
}

fn service(name: &str, is_keyed: bool) -> RoutedService {
    RoutedService {
        name: name.into(),
        health_path: None,
        max_connections: None,
        protocol: None,
        has_tls: None,
        is_keyed: Some(is_keyed),
        warmup: None,
        grant_mode: None,
    }
}

fn table(version: u64) -> RouteTable {
    RouteTable {
        version,
        routes: vec![
            route("reads", "archive", RequestKind::Idempotent),
            route("plans", "library", RequestKind::Idempotent),
            route("orders", "ledger", RequestKind::Order),
        ],
        services: vec![
            service("archive", true),
            service("library", false),
            service("ledger", false),
        ],
        limits: None,
    }
}

fn server(name: &str, of: &str, state: ServerState) -> ServerRecord {
    let port = 8000 + name.bytes().map(u16::from).sum::<u16>();
    ServerRecord {
        life: ServerLife::new(name, 1),
        service: of.into(),
        address: SocketAddr::from(([10, 0, 0, 1], port)),
        zone: "north".into(),
        software_version: String::new(),
        slots: 3,
        state,
        cold_for: Duration::ZERO,
    }
}

fn owned(first: u16, last: u16, owner: &str, fence: u64) -> OwnedRange {
    OwnedRange {
        range: KeyRange::new(first, last),
        owner: ServerLife::new(owner, 1),
        fence,
        handover: None,
    }
}

fn ranges(ranges: Vec<OwnedRange>) -> Vec<ServiceRanges> {
    vec![ServiceRanges {
        service: "archive".into(),
        ranges,
    }]
}

fn gateway() -> Gateway {
    let mut gateway = Gateway::new(GatewayConfig::default());
    let ready = ServerState::Ready;
    let update = DirectoryUpdate {
        version: 5,
        is_full: true,
        routes: Some(table(1)),
        servers: vec![
            server("a1", "archive", ready),
            server("a2", "archive", ready),
            server("l1", "library", ready),
            server("l2", "library", ready),
            server("o1", "ledger", ready),
            server("o2", "ledger", ready),
        ],
        removed: Vec::new(),
        ranges: ranges(vec![owned(0, 999, "a1", 1), owned(1000, 65_535, "a2", 2)]),
    };
    gateway.update(START, update);
    gateway.note_status(START, &in_contact());
    gateway
}

fn in_contact() -> LinkStatus {
    LinkStatus {
        is_in_contact: true,
        entry_count: 3,
        ..LinkStatus::default()
    }
}

fn facts(key: Option<u16>) -> CallerFacts {
    CallerFacts {
        attempt_id: Some("attempt-1".into()),
        time_left: Some(Duration::from_secs(1)),
        key,
    }
}

fn arrive(gateway: &mut Gateway, path: &str, key: Option<u16>) -> RequestTicket {
    match gateway.arrive(START, "host", path, &facts(key)) {
        Arrival::Accepted(ticket) => ticket,
        Arrival::Refused(refusal) => panic!("refused: {refusal:?}"),
    }
}

fn refusal_of(gateway: &mut Gateway, now: Duration, path: &str, key: Option<u16>) -> RefusalReason {
    match gateway.arrive(now, "host", path, &facts(key)) {
        Arrival::Accepted(_) => panic!("accepted"),
        Arrival::Refused(refusal) => refusal.reason,
    }
}

fn sent(step: NextStep) -> Target {
    match step {
        NextStep::Send(target) => target,
        other => panic!("not sent: {other:?}"),
    }
}

#[gtest]
fn keyed_request_goes_to_the_owner() {
    let mut gateway = gateway();
    for (key, owner) in [(0, "a1"), (999, "a1"), (1000, "a2"), (65_535, "a2")] {
        let mut ticket = arrive(&mut gateway, "/reads/x", Some(key));
        let target = sent(gateway.next_step(START, &mut ticket));
        expect_that!(target.life.server, eq(owner));
    }
}

#[gtest]
fn keyed_request_without_a_key_is_refused() {
    let mut gateway = gateway();
    let reason = refusal_of(&mut gateway, START, "/reads/x", None);
    expect_that!(reason, eq(RefusalReason::NoKey));
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
fn older_directory_changes_nothing() {
    let mut gateway = gateway();
    let newer = DirectoryUpdate {
        version: 9,
        routes: Some(table(4)),
        ..DirectoryUpdate::default()
    };
    gateway.update(START, newer);
    let older = DirectoryUpdate {
        version: 7,
        is_full: true,
        routes: Some(table(3)),
        ..DirectoryUpdate::default()
    };
    expect_that!(gateway.update(START, older), eq(false));
    expect_that!(gateway.directory().routes().version, eq(4));
    expect_that!(gateway.directory().servers().count(), eq(6));
}

#[gtest]
fn request_waits_while_its_key_is_on_its_way() {
    let mut gateway = gateway();
    let moving = LinkStatus {
        moving: vec![MovingRange {
            service: "archive".into(),
            range: KeyRange::new(0, 100),
            fence: 1,
        }],
        ..in_contact()
    };
    gateway.note_status(START, &moving);
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
    expect_that!(target.life.server, eq("a2"));
}

#[gtest]
fn key_without_an_owner_is_refused_before_the_caller_gives_up() {
    let mut gateway = gateway();
    let update = DirectoryUpdate {
        version: 6,
        removed: vec![ServerLife::new("a1", 1)],
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
fn order_that_may_have_run_is_never_sent_again() {
    let outcomes = [
        AttemptOutcome::Broken,
        AttemptOutcome::Garbled,
        AttemptOutcome::Silent,
        AttemptOutcome::Failed,
    ];
    for outcome in outcomes {
        let mut gateway = gateway();
        let mut ticket = arrive(&mut gateway, "/orders/x", None);
        sent(gateway.next_step(START, &mut ticket));
        expect_that!(
            gateway.attempt_ended(START, &mut ticket, outcome),
            eq(false)
        );
        let refusal = gateway.final_refusal(&ticket, outcome);
        expect_that!(refusal.may_have_run, eq(true));
        expect_that!(refusal.retry_after, none());
    }
}

#[gtest]
fn order_that_has_not_run_goes_to_another_server() {
    let outcomes = [
        AttemptOutcome::Shed,
        AttemptOutcome::WrongServer,
        AttemptOutcome::OtherServer,
        AttemptOutcome::Refused,
        AttemptOutcome::Unreachable,
    ];
    for outcome in outcomes {
        let mut gateway = gateway();
        let mut ticket = arrive(&mut gateway, "/orders/x", None);
        let first = sent(gateway.next_step(START, &mut ticket));
        expect_that!(gateway.attempt_ended(START, &mut ticket, outcome), eq(true));
        let second = sent(gateway.next_step(START, &mut ticket));
        expect_that!(second.life, not(eq(&first.life)));
        // The route allows two servers.
        expect_that!(
            gateway.attempt_ended(START, &mut ticket, outcome),
            eq(false)
        );
        let refusal = gateway.final_refusal(&ticket, outcome);
        expect_that!(refusal.may_have_run, eq(false));
    }
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
        expect_that!(target.life.server, eq("l2"));
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
    let arrival = gateway.arrive(later, "host", "/reads/x", &facts(Some(1)));
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
    let (drains, leaves) = (ServerLife::new("l1", 1), ServerLife::new("l2", 1));
    for life in [&drains, &leaves] {
        expect_that!(gateway.may_still_send(START, life), eq(true));
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
fn server_that_refuses_connections_is_left_alone_for_a_while() {
    let mut gateway = gateway();
    let mut ticket = arrive(&mut gateway, "/plans/x", None);
    let away = sent(gateway.next_step(START, &mut ticket)).life;
    gateway.attempt_ended(START, &mut ticket, AttemptOutcome::Refused);
    for _ in 0..10 {
        let mut ticket = arrive(&mut gateway, "/plans/x", None);
        let target = sent(gateway.next_step(START, &mut ticket));
        expect_that!(target.life, not(eq(&away)));
    }
}

#[gtest]
fn poisoned_request_is_held_back() {
    let mut gateway = gateway();
    let poison = LinkStatus {
        poison: vec![42],
        ..in_contact()
    };
    gateway.note_status(START, &poison);
    let mut ticket = arrive(&mut gateway, "/plans/x", None);
    ticket.set_fingerprint(42);
    let step = gateway.next_step(START, &mut ticket);
    let NextStep::Refuse(refusal) = step else {
        panic!("expected a refusal");
    };
    expect_that!(refusal.reason, eq(RefusalReason::Poisoned));
}

/// Lets a request break off at a server, and then another one end there in some way.
fn reports_after(next: AttemptOutcome) -> usize {
    let mut gateway = gateway();
    let mut ticket = arrive(&mut gateway, "/reads/x", Some(7));
    ticket.set_fingerprint(42);
    sent(gateway.next_step(START, &mut ticket));
    gateway.attempt_ended(START, &mut ticket, AttemptOutcome::Broken);
    expect_that!(gateway.take_report().poison.len(), eq(0));
    let mut other = arrive(&mut gateway, "/reads/y", Some(8));
    sent(gateway.next_step(START, &mut other));
    gateway.attempt_ended(START, &mut other, next);
    gateway.take_report().poison.len()
}

#[gtest]
fn request_is_reported_once_its_server_has_ended() {
    expect_that!(reports_after(AttemptOutcome::Refused), eq(1));
}

#[gtest]
fn request_whose_answer_was_lost_is_not_taken_for_a_crash() {
    expect_that!(reports_after(AttemptOutcome::Answered), eq(0));
    expect_that!(reports_after(AttemptOutcome::Shed), eq(0));
}

#[gtest]
fn request_is_reported_when_its_server_starts_again() {
    let mut gateway = gateway();
    let mut ticket = arrive(&mut gateway, "/plans/x", None);
    ticket.set_fingerprint(42);
    let life = sent(gateway.next_step(START, &mut ticket)).life;
    gateway.attempt_ended(START, &mut ticket, AttemptOutcome::Broken);
    let update = DirectoryUpdate {
        version: 6,
        removed: vec![life],
        ..DirectoryUpdate::default()
    };
    gateway.update(START, update);
    expect_that!(gateway.take_report().poison.len(), eq(1));
}

#[gtest]
fn second_sends_stay_within_the_budget_of_all_entry_vms() {
    let mut gateway = gateway();
    let mut second_sends = 0;
    let request_count = 1000;
    for _ in 0..request_count {
        let mut ticket = arrive(&mut gateway, "/plans/x", None);
        sent(gateway.next_step(START, &mut ticket));
        if gateway.attempt_ended(START, &mut ticket, AttemptOutcome::Shed)
            && let NextStep::Send(_) = gateway.next_step(START, &mut ticket)
        {
            second_sends += 1;
            gateway.attempt_ended(START, &mut ticket, AttemptOutcome::Shed);
        }
    }
    let config = GatewayConfig::default();
    let allowed = config.retry_ratio * f64::from(request_count) + config.retry_slack / 3.0;
    expect_that!(f64::from(second_sends), le(allowed));
    expect_that!(second_sends, gt(0));
}

/// A control VM that does not lead, or a leader to which few entry VMs have come yet, knows a few
/// entry VMs only.
#[gtest]
fn budget_does_not_grow_when_few_entry_vms_are_known_for_a_moment() {
    let mut gateway = gateway();
    for entry_count in [8, 0, 1, 2] {
        let status = LinkStatus {
            entry_count,
            ..in_contact()
        };
        gateway.note_status(START, &status);
    }
    let mut second_sends = 0;
    for _ in 0..100 {
        let mut ticket = arrive(&mut gateway, "/plans/x", None);
        sent(gateway.next_step(START, &mut ticket));
        if gateway.attempt_ended(START, &mut ticket, AttemptOutcome::Shed)
            && let NextStep::Send(_) = gateway.next_step(START, &mut ticket)
        {
            second_sends += 1;
            gateway.attempt_ended(START, &mut ticket, AttemptOutcome::Shed);
        }
    }
    let config = GatewayConfig::default();
    let allowed = config.retry_ratio * 100.0 + config.retry_slack / 8.0;
    expect_that!(f64::from(second_sends), le(allowed));
}

/// Sends a request for a key whose owner has answered in `latencies_ms` before, and lets the owner
/// turn it away; whether it is asked again.
fn is_asked_again_after(latencies_ms: &[u64]) -> bool {
    let mut gateway = gateway();
    for latency_ms in latencies_ms {
        let mut ticket = arrive(&mut gateway, "/reads/x", Some(7));
        sent(gateway.next_step(START, &mut ticket));
        let ended_at = START + Duration::from_millis(*latency_ms);
        gateway.attempt_ended(ended_at, &mut ticket, AttemptOutcome::Answered);
    }
    let mut ticket = arrive(&mut gateway, "/reads/x", Some(7));
    sent(gateway.next_step(START, &mut ticket));
    gateway.attempt_ended(START, &mut ticket, AttemptOutcome::Shed)
}

#[gtest]
fn owner_that_turns_requests_away_without_being_full_is_asked_again() {
    expect_that!(is_asked_again_after(&[100; 10]), eq(true));
}

#[gtest]
fn full_owner_is_not_asked_again() {
    let growing: Vec<u64> = (1..=30).map(|i| 100 + 20 * i).collect();
    expect_that!(is_asked_again_after(&growing), eq(false));
}

#[gtest]
fn server_whose_address_another_one_has_is_not_asked_again() {
    let mut gateway = gateway();
    let mut ticket = arrive(&mut gateway, "/reads/x", Some(7));
    sent(gateway.next_step(START, &mut ticket));
    gateway.attempt_ended(START, &mut ticket, AttemptOutcome::OtherServer);
    let mut next = arrive(&mut gateway, "/reads/x", Some(7));
    let step = gateway.next_step(START, &mut next);
    expect_that!(step, matches_pattern!(NextStep::Wait(_)));
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
        routes: Some(split),
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
