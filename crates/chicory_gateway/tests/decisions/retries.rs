//! Tests what follows from attempts that were not answered, without a network.

use std::time::Duration;

use crate::support::{
    START, admit, expect_sent, gateway, in_contact, metadata, owned, ranges, server, table,
};
use chicory_directory::{DirectoryUpdate, LinkStatus, ServerRecord, ServerState};
use chicory_gateway::{
    Admission, AttemptOutcome, Gateway, GatewayConfig, NextStep, RefusalReason, RequestMetadata,
};
use chicory_ranges::ServerIncarnation;
use chicory_routes::RouteTableDelta;
use googletest::prelude::*;

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
        let mut ticket = admit(&mut gateway, "/orders/x", None);
        expect_sent(gateway.next_step(START, &mut ticket));
        expect_that!(
            gateway.record_attempt_end(START, &mut ticket, outcome),
            eq(false)
        );
        let refusal = gateway.final_refusal(START, &ticket, outcome);
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
        AttemptOutcome::ConnectionRejected,
    ];
    for outcome in outcomes {
        let mut gateway = gateway();
        let mut ticket = admit(&mut gateway, "/orders/x", None);
        let first = expect_sent(gateway.next_step(START, &mut ticket));
        expect_that!(
            gateway.record_attempt_end(START, &mut ticket, outcome),
            eq(true)
        );
        let second = expect_sent(gateway.next_step(START, &mut ticket));
        expect_that!(second.incarnation, not(eq(&first.incarnation)));
        // The route allows two servers.
        expect_that!(
            gateway.record_attempt_end(START, &mut ticket, outcome),
            eq(false)
        );
        let refusal = gateway.final_refusal(START, &ticket, outcome);
        expect_that!(refusal.may_have_run, eq(false));
    }
}

#[gtest]
fn server_that_refuses_connections_is_paused() {
    let mut gateway = gateway();
    let mut ticket = admit(&mut gateway, "/plans/x", None);
    let unreachable = expect_sent(gateway.next_step(START, &mut ticket)).incarnation;
    gateway.record_attempt_end(START, &mut ticket, AttemptOutcome::Refused);
    for _ in 0..10 {
        let mut ticket = admit(&mut gateway, "/plans/x", None);
        let target = expect_sent(gateway.next_step(START, &mut ticket));
        expect_that!(target.incarnation, not(eq(&unreachable)));
    }
}

#[gtest]
fn new_connections_are_checked_for_orders_and_after_breaks() {
    let mut gateway = gateway();
    let mut settle_time_of = |path, key, outcome| {
        let mut ticket = admit(&mut gateway, path, key);
        let target = expect_sent(gateway.next_step(START, &mut ticket));
        gateway.record_attempt_end(START, &mut ticket, outcome);
        target.settle_time
    };
    let answered = AttemptOutcome::Answered;
    expect_that!(
        settle_time_of("/orders/x", None, answered),
        gt(Duration::ZERO)
    );
    expect_that!(
        settle_time_of("/reads/x", Some(7), answered),
        eq(Duration::ZERO)
    );
    settle_time_of("/reads/x", Some(7), AttemptOutcome::Broken);
    expect_that!(
        settle_time_of("/reads/x", Some(7), answered),
        gt(Duration::ZERO)
    );
    expect_that!(
        settle_time_of("/reads/x", Some(5000), answered),
        eq(Duration::ZERO)
    );
}

#[gtest]
fn keyed_request_whose_connection_the_owner_rejected_is_refused_at_once() {
    let mut gateway = gateway();
    let mut ticket = admit(&mut gateway, "/reads/x", Some(7));
    expect_sent(gateway.next_step(START, &mut ticket));
    let outcome = AttemptOutcome::ConnectionRejected;
    expect_that!(
        gateway.record_attempt_end(START, &mut ticket, outcome),
        eq(false)
    );
    let refusal = gateway.final_refusal(START, &ticket, outcome);
    expect_that!(refusal.reason, eq(RefusalReason::Overloaded));
    expect_that!(refusal.may_have_run, eq(false));
    expect_that!(refusal.retry_after, some(anything()));
}

#[gtest]
fn poisoned_request_is_refused() {
    let mut gateway = gateway();
    let poison = LinkStatus {
        poison: vec![42],
        ..in_contact()
    };
    gateway.record_status(START, &poison);
    let mut ticket = admit(&mut gateway, "/plans/x", None);
    ticket.set_fingerprint(42);
    let step = gateway.next_step(START, &mut ticket);
    let NextStep::Refuse(refusal) = step else {
        panic!("expected a refusal");
    };
    expect_that!(refusal.reason, eq(RefusalReason::Poisoned));
}

/// Ends one request at a server with a broken connection and another one with `next`. Returns the
/// number of requests that are reported to crash servers.
fn reports_after(next: AttemptOutcome) -> usize {
    let mut gateway = gateway();
    let mut ticket = admit(&mut gateway, "/reads/x", Some(7));
    ticket.set_fingerprint(42);
    expect_sent(gateway.next_step(START, &mut ticket));
    gateway.record_attempt_end(START, &mut ticket, AttemptOutcome::Broken);
    expect_that!(gateway.take_report(START).poison.len(), eq(0));
    let mut other = admit(&mut gateway, "/reads/y", Some(8));
    expect_sent(gateway.next_step(START, &mut other));
    gateway.record_attempt_end(START, &mut other, next);
    gateway.take_report(START).poison.len()
}

#[gtest]
fn request_is_reported_once_its_server_has_ended() {
    expect_that!(reports_after(AttemptOutcome::Refused), eq(1));
}

#[gtest]
fn request_whose_answer_was_lost_is_not_reported_as_a_crash() {
    expect_that!(reports_after(AttemptOutcome::Answered), eq(0));
    expect_that!(reports_after(AttemptOutcome::Shed), eq(0));
}

#[gtest]
fn request_is_reported_when_its_server_starts_again() {
    let mut gateway = gateway();
    let mut ticket = admit(&mut gateway, "/plans/x", None);
    ticket.set_fingerprint(42);
    let incarnation = expect_sent(gateway.next_step(START, &mut ticket)).incarnation;
    gateway.record_attempt_end(START, &mut ticket, AttemptOutcome::Broken);
    let update = DirectoryUpdate {
        version: 6,
        removed: vec![incarnation],
        ..DirectoryUpdate::default()
    };
    gateway.update(START, update);
    expect_that!(gateway.take_report(START).poison.len(), eq(1));
}

#[gtest]
fn retries_stay_within_the_budget_of_all_entry_vms() {
    let mut gateway = gateway();
    let mut retry_count = 0;
    let request_count = 1000;
    for _ in 0..request_count {
        let mut ticket = admit(&mut gateway, "/plans/x", None);
        expect_sent(gateway.next_step(START, &mut ticket));
        if gateway.record_attempt_end(START, &mut ticket, AttemptOutcome::Shed)
            && let NextStep::Send(_) = gateway.next_step(START, &mut ticket)
        {
            retry_count += 1;
            gateway.record_attempt_end(START, &mut ticket, AttemptOutcome::Shed);
        }
    }
    let config = GatewayConfig::default();
    let allowed = config.retry_ratio * f64::from(request_count) + config.retry_slack / 3.0;
    expect_that!(f64::from(retry_count), le(allowed));
    expect_that!(retry_count, gt(0));
}

/// Guards against a growing budget when a control VM reports few entry VMs. A control VM that does
/// not lead, or a new leader to which few entry VMs have connected yet, knows only a few of them.
#[gtest]
fn budget_does_not_grow_when_few_entry_vms_are_known_temporarily() {
    let mut gateway = gateway();
    for entry_count in [8, 0, 1, 2] {
        let status = LinkStatus {
            entry_count,
            ..in_contact()
        };
        gateway.record_status(START, &status);
    }
    let mut retry_count = 0;
    for _ in 0..100 {
        let mut ticket = admit(&mut gateway, "/plans/x", None);
        expect_sent(gateway.next_step(START, &mut ticket));
        if gateway.record_attempt_end(START, &mut ticket, AttemptOutcome::Shed)
            && let NextStep::Send(_) = gateway.next_step(START, &mut ticket)
        {
            retry_count += 1;
            gateway.record_attempt_end(START, &mut ticket, AttemptOutcome::Shed);
        }
    }
    let config = GatewayConfig::default();
    let allowed = config.retry_ratio * 100.0 + config.retry_slack / 8.0;
    expect_that!(f64::from(retry_count), le(allowed));
}

/// Sends requests for a key whose owner answers with `latencies_ms`, then one that the owner sheds.
/// Returns whether that request may be sent again. If the owner is known to be full, the request
/// may be refused without being sent.
fn is_retried_after(latencies_ms: &[u64]) -> bool {
    let mut gateway = gateway();
    for latency_ms in latencies_ms {
        let mut ticket = admit(&mut gateway, "/reads/x", Some(7));
        if is_refused_as_full(&gateway.next_step(START, &mut ticket)) {
            return false;
        }
        let ended_at = START + Duration::from_millis(*latency_ms);
        gateway.record_attempt_end(ended_at, &mut ticket, AttemptOutcome::Answered);
    }
    let mut ticket = admit(&mut gateway, "/reads/x", Some(7));
    expect_sent(gateway.next_step(START, &mut ticket));
    gateway.record_attempt_end(START, &mut ticket, AttemptOutcome::Shed)
}

fn is_refused_as_full(step: &NextStep) -> bool {
    let NextStep::Refuse(refusal) = step else {
        return false;
    };
    expect_that!(refusal.reason, eq(RefusalReason::Overloaded));
    expect_that!(refusal.may_have_run, eq(false));
    expect_that!(refusal.retry_after, some(anything()));
    true
}

#[gtest]
fn owner_that_sheds_without_congestion_is_retried() {
    expect_that!(is_retried_after(&[100; 10]), eq(true));
}

#[gtest]
fn congested_owner_is_not_retried() {
    let growing: Vec<u64> = (1..=30).map(|i| 100 + 20 * i).collect();
    expect_that!(is_retried_after(&growing), eq(false));
}

#[gtest]
fn server_whose_address_was_taken_over_is_not_retried() {
    let mut gateway = gateway();
    let mut ticket = admit(&mut gateway, "/reads/x", Some(7));
    expect_sent(gateway.next_step(START, &mut ticket));
    gateway.record_attempt_end(START, &mut ticket, AttemptOutcome::OtherServer);
    let mut next = admit(&mut gateway, "/reads/x", Some(7));
    let step = gateway.next_step(START, &mut next);
    expect_that!(step, matches_pattern!(NextStep::Wait(_)));
}

/// Creates a gateway with servers of the archive in two availability zones. Those named `s…` own
/// the lower keys and are in the south.
fn gateway_over_two_zones() -> Gateway {
    let mut gateway = gateway();
    let south = (0..4).map(|index| ServerRecord {
        zone: "south".into(),
        ..server(&format!("s{index}"), "archive", ServerState::Ready)
    });
    let south_library = ["ls", "lt"].map(|name| ServerRecord {
        zone: "south".into(),
        ..server(name, "library", ServerState::Ready)
    });
    let owners = (0..4).map(|index| owned(index * 10, index * 10 + 9, &format!("s{index}"), 9));
    let update = DirectoryUpdate {
        version: 9,
        last_fence: 9,
        servers: south.chain(south_library).collect(),
        ranges: ranges(owners.collect()),
        ..DirectoryUpdate::default()
    };
    gateway.update(START, update);
    gateway
}

/// Returns the next step of a request for a key. A request that is sent ends with `outcome`.
fn request(gateway: &mut Gateway, now: Duration, key: u16, outcome: AttemptOutcome) -> NextStep {
    let admission = gateway.admit(now, "host", "/reads/x", &metadata(Some(key)));
    let Admission::Accepted(mut ticket) = admission else {
        panic!("refused: {admission:?}");
    };
    let step = gateway.next_step(now, &mut ticket);
    if matches!(step, NextStep::Send(_)) {
        gateway.record_attempt_end(now, &mut ticket, outcome);
    }
    step
}

#[gtest]
fn requests_for_a_zone_that_is_cut_off_are_refused_at_once() {
    for outcome in [AttemptOutcome::Unreachable, AttemptOutcome::Refused] {
        let mut gateway = gateway_over_two_zones();
        for key in [0, 10, 20] {
            expect_sent(request(&mut gateway, START, key, outcome));
        }
        // Another server of the zone, to which no request was sent before.
        let NextStep::Refuse(refusal) = request(&mut gateway, START, 30, outcome) else {
            panic!("expected a refusal");
        };
        expect_that!(refusal.reason, eq(RefusalReason::Unreachable));
        expect_that!(refusal.may_have_run, eq(false));
        expect_that!(refusal.retry_after, some(anything()));
        expect_sent(request(&mut gateway, START, 500, AttemptOutcome::Answered));
        for _ in 0..10 {
            let mut ticket = admit(&mut gateway, "/plans/x", None);
            let target = expect_sent(gateway.next_step(START, &mut ticket));
            expect_that!(target.incarnation.server, starts_with("l"));
            expect_that!(target.incarnation.server, not(any!(eq("ls"), eq("lt"))));
        }
    }
}

#[gtest]
fn one_request_probes_whether_a_zone_can_be_reached_again() {
    let mut gateway = gateway_over_two_zones();
    let unreachable = AttemptOutcome::Unreachable;
    for key in [0, 10, 20] {
        expect_sent(request(&mut gateway, START, key, unreachable));
    }
    let later = START + Duration::from_millis(300);
    expect_sent(request(&mut gateway, later, 30, unreachable));
    expect_that!(
        request(&mut gateway, later, 30, unreachable),
        matches_pattern!(NextStep::Refuse(_))
    );
    let recovered = later + Duration::from_millis(300);
    expect_sent(request(&mut gateway, recovered, 30, AttemptOutcome::Shed));
    for key in [0, 10, 20, 30] {
        expect_sent(request(
            &mut gateway,
            recovered,
            key,
            AttemptOutcome::Answered,
        ));
    }
}

#[gtest]
fn single_unreachable_servers_do_not_cut_off_their_zone() {
    let mut gateway = gateway_over_two_zones();
    for iteration in 0..10 {
        // A server that can't be reached is tried only once in a while.
        let now = START + Duration::from_millis(300) * iteration;
        expect_sent(request(&mut gateway, now, 0, AttemptOutcome::Unreachable));
        expect_sent(request(&mut gateway, now, 10, AttemptOutcome::Answered));
    }
}

#[gtest]
fn requests_for_an_unreachable_owner_are_refused_at_once() {
    let mut gateway = gateway_over_two_zones();
    let unreachable = AttemptOutcome::Unreachable;
    expect_sent(request(&mut gateway, START, 0, unreachable));
    let NextStep::Refuse(refusal) = request(&mut gateway, START, 0, unreachable) else {
        panic!("expected a refusal");
    };
    expect_that!(refusal.reason, eq(RefusalReason::Unreachable));
    expect_that!(refusal.may_have_run, eq(false));
    expect_that!(refusal.retry_after, some(anything()));
    // One request probes whether the server can be reached again.
    let later = START + Duration::from_millis(300);
    expect_sent(request(&mut gateway, later, 0, AttemptOutcome::Answered));
    expect_sent(request(&mut gateway, later, 0, AttemptOutcome::Answered));
}

#[gtest]
fn keys_that_remain_without_an_owner_are_not_waited_for() {
    let mut gateway = gateway();
    let gone = DirectoryUpdate {
        version: 9,
        last_fence: 2,
        removed: vec![ServerIncarnation::new("a1", 1)],
        ..DirectoryUpdate::default()
    };
    gateway.update(START, gone);
    let step = request(&mut gateway, START, 7, AttemptOutcome::Answered);
    expect_that!(step, matches_pattern!(NextStep::Wait(_)));
    let later = START + Duration::from_secs(2);
    let NextStep::Refuse(refusal) = request(&mut gateway, later, 7, AttemptOutcome::Answered)
    else {
        panic!("expected a refusal");
    };
    expect_that!(refusal.reason, eq(RefusalReason::NoOwner));
    expect_that!(refusal.may_have_run, eq(false));
}

/// A full link delays new connections. Nobody else can serve a key, and its caller can wait.
#[gtest]
fn connection_to_the_owner_of_a_key_may_take_a_part_of_the_callers_time() {
    let time_limit = |path: &str, key, time_left_ms| {
        let mut gateway = gateway();
        let mut patient = table(6);
        for route in &mut patient.routes {
            route.timeout = None;
        }
        let update = DirectoryUpdate {
            version: 6,
            routes: Some(RouteTableDelta::whole(&patient)),
            ..DirectoryUpdate::default()
        };
        gateway.update(START, update);
        let metadata = RequestMetadata {
            time_left: Some(Duration::from_millis(time_left_ms)),
            ..metadata(key)
        };
        let admission = gateway.admit(START, "host", path, &metadata);
        let Admission::Accepted(mut ticket) = admission else {
            panic!("refused: {admission:?}");
        };
        expect_sent(gateway.next_step(START, &mut ticket)).connect_timeout
    };
    let shortest = Duration::from_millis(300);
    expect_that!(time_limit("/reads/x", Some(7), 1000), eq(shortest));
    expect_that!(time_limit("/plans/x", None, 1500), eq(shortest));
    let of_owner = time_limit("/reads/x", Some(7), 4000);
    expect_that!(of_owner, gt(shortest));
    expect_that!(of_owner, le(Duration::from_millis(1200)));
    expect_that!(time_limit("/plans/x", None, 4000), lt(of_owner));
    // No connection takes all of the time that is left.
    expect_that!(
        time_limit("/reads/x", Some(7), 200),
        lt(Duration::from_millis(200))
    );
}
