//! What follows from attempts that were not answered, without a network.

use std::time::Duration;

use crate::support::{START, arrive, gateway, in_contact, metadata, owned, ranges, sent, server};
use chicory_directory::{DirectoryUpdate, LinkStatus, ServerRecord, ServerState};
use chicory_gateway::{Arrival, AttemptOutcome, Gateway, GatewayConfig, NextStep, RefusalReason};
use chicory_ranges::ServerIncarnation;
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
        let mut ticket = arrive(&mut gateway, "/orders/x", None);
        sent(gateway.next_step(START, &mut ticket));
        expect_that!(
            gateway.attempt_ended(START, &mut ticket, outcome),
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
        AttemptOutcome::TurnedAway,
    ];
    for outcome in outcomes {
        let mut gateway = gateway();
        let mut ticket = arrive(&mut gateway, "/orders/x", None);
        let first = sent(gateway.next_step(START, &mut ticket));
        expect_that!(gateway.attempt_ended(START, &mut ticket, outcome), eq(true));
        let second = sent(gateway.next_step(START, &mut ticket));
        expect_that!(second.incarnation, not(eq(&first.incarnation)));
        // The route allows two servers.
        expect_that!(
            gateway.attempt_ended(START, &mut ticket, outcome),
            eq(false)
        );
        let refusal = gateway.final_refusal(START, &ticket, outcome);
        expect_that!(refusal.may_have_run, eq(false));
    }
}

#[gtest]
fn server_that_refuses_connections_is_left_alone_for_a_while() {
    let mut gateway = gateway();
    let mut ticket = arrive(&mut gateway, "/plans/x", None);
    let away = sent(gateway.next_step(START, &mut ticket)).incarnation;
    gateway.attempt_ended(START, &mut ticket, AttemptOutcome::Refused);
    for _ in 0..10 {
        let mut ticket = arrive(&mut gateway, "/plans/x", None);
        let target = sent(gateway.next_step(START, &mut ticket));
        expect_that!(target.incarnation, not(eq(&away)));
    }
}

#[gtest]
fn new_connections_are_watched_for_orders_and_after_breaks() {
    let mut gateway = gateway();
    let mut settle_of = |path, key, outcome| {
        let mut ticket = arrive(&mut gateway, path, key);
        let target = sent(gateway.next_step(START, &mut ticket));
        gateway.attempt_ended(START, &mut ticket, outcome);
        target.settle
    };
    let answered = AttemptOutcome::Answered;
    expect_that!(settle_of("/orders/x", None, answered), gt(Duration::ZERO));
    expect_that!(settle_of("/reads/x", Some(7), answered), eq(Duration::ZERO));
    settle_of("/reads/x", Some(7), AttemptOutcome::Broken);
    expect_that!(settle_of("/reads/x", Some(7), answered), gt(Duration::ZERO));
    expect_that!(
        settle_of("/reads/x", Some(5000), answered),
        eq(Duration::ZERO)
    );
}

#[gtest]
fn keyed_request_that_the_owner_turned_away_is_refused_at_once() {
    let mut gateway = gateway();
    let mut ticket = arrive(&mut gateway, "/reads/x", Some(7));
    sent(gateway.next_step(START, &mut ticket));
    let outcome = AttemptOutcome::TurnedAway;
    expect_that!(
        gateway.attempt_ended(START, &mut ticket, outcome),
        eq(false)
    );
    let refusal = gateway.final_refusal(START, &ticket, outcome);
    expect_that!(refusal.reason, eq(RefusalReason::Overloaded));
    expect_that!(refusal.may_have_run, eq(false));
    expect_that!(refusal.retry_after, some(anything()));
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
    let incarnation = sent(gateway.next_step(START, &mut ticket)).incarnation;
    gateway.attempt_ended(START, &mut ticket, AttemptOutcome::Broken);
    let update = DirectoryUpdate {
        version: 6,
        removed: vec![incarnation],
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
/// turn it away; whether it is asked again. An owner that is known to be full may not be asked at
/// all.
fn is_asked_again_after(latencies_ms: &[u64]) -> bool {
    let mut gateway = gateway();
    for latency_ms in latencies_ms {
        let mut ticket = arrive(&mut gateway, "/reads/x", Some(7));
        if is_refused_as_full(&gateway.next_step(START, &mut ticket)) {
            return false;
        }
        let ended_at = START + Duration::from_millis(*latency_ms);
        gateway.attempt_ended(ended_at, &mut ticket, AttemptOutcome::Answered);
    }
    let mut ticket = arrive(&mut gateway, "/reads/x", Some(7));
    sent(gateway.next_step(START, &mut ticket));
    gateway.attempt_ended(START, &mut ticket, AttemptOutcome::Shed)
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

/// A gateway with servers of the archive in two availability zones: those named `s…` own the lower
/// keys and are in the south.
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

/// The next step of a request for a key; a request that is sent ends with `outcome`.
fn ask(gateway: &mut Gateway, now: Duration, key: u16, outcome: AttemptOutcome) -> NextStep {
    let arrival = gateway.arrive(now, "host", "/reads/x", &metadata(Some(key)));
    let Arrival::Accepted(mut ticket) = arrival else {
        panic!("refused: {arrival:?}");
    };
    let step = gateway.next_step(now, &mut ticket);
    if matches!(step, NextStep::Send(_)) {
        gateway.attempt_ended(now, &mut ticket, outcome);
    }
    step
}

#[gtest]
fn requests_for_a_zone_that_is_cut_off_are_refused_at_once() {
    for outcome in [AttemptOutcome::Unreachable, AttemptOutcome::Refused] {
        let mut gateway = gateway_over_two_zones();
        for key in [0, 10, 20] {
            sent(ask(&mut gateway, START, key, outcome));
        }
        // Another server of the zone, which was never asked.
        let NextStep::Refuse(refusal) = ask(&mut gateway, START, 30, outcome) else {
            panic!("expected a refusal");
        };
        expect_that!(refusal.reason, eq(RefusalReason::Unreachable));
        expect_that!(refusal.may_have_run, eq(false));
        expect_that!(refusal.retry_after, some(anything()));
        sent(ask(&mut gateway, START, 500, AttemptOutcome::Answered));
        for _ in 0..10 {
            let mut ticket = arrive(&mut gateway, "/plans/x", None);
            let target = sent(gateway.next_step(START, &mut ticket));
            expect_that!(target.incarnation.server, starts_with("l"));
            expect_that!(target.incarnation.server, not(any!(eq("ls"), eq("lt"))));
        }
    }
}

#[gtest]
fn one_request_finds_out_that_a_zone_can_be_reached_again() {
    let mut gateway = gateway_over_two_zones();
    let away = AttemptOutcome::Unreachable;
    for key in [0, 10, 20] {
        sent(ask(&mut gateway, START, key, away));
    }
    let later = START + Duration::from_millis(300);
    sent(ask(&mut gateway, later, 30, away));
    expect_that!(
        ask(&mut gateway, later, 30, away),
        matches_pattern!(NextStep::Refuse(_))
    );
    let healed = later + Duration::from_millis(300);
    sent(ask(&mut gateway, healed, 30, AttemptOutcome::Shed));
    for key in [0, 10, 20, 30] {
        sent(ask(&mut gateway, healed, key, AttemptOutcome::Answered));
    }
}

#[gtest]
fn single_servers_that_are_away_do_not_close_their_zone() {
    let mut gateway = gateway_over_two_zones();
    for turn in 0..10 {
        // A server that is away is asked only now and then.
        let now = START + Duration::from_millis(300) * turn;
        sent(ask(&mut gateway, now, 0, AttemptOutcome::Unreachable));
        sent(ask(&mut gateway, now, 10, AttemptOutcome::Answered));
    }
}

#[gtest]
fn requests_for_an_owner_that_is_away_are_refused_at_once() {
    let mut gateway = gateway_over_two_zones();
    let away = AttemptOutcome::Unreachable;
    sent(ask(&mut gateway, START, 0, away));
    let NextStep::Refuse(refusal) = ask(&mut gateway, START, 0, away) else {
        panic!("expected a refusal");
    };
    expect_that!(refusal.reason, eq(RefusalReason::Unreachable));
    expect_that!(refusal.may_have_run, eq(false));
    expect_that!(refusal.retry_after, some(anything()));
    // One request finds out that it is back.
    let later = START + Duration::from_millis(300);
    sent(ask(&mut gateway, later, 0, AttemptOutcome::Answered));
    sent(ask(&mut gateway, later, 0, AttemptOutcome::Answered));
}

#[gtest]
fn keys_that_stay_without_an_owner_are_not_waited_for() {
    let mut gateway = gateway();
    let gone = DirectoryUpdate {
        version: 9,
        last_fence: 2,
        removed: vec![ServerIncarnation::new("a1", 1)],
        ..DirectoryUpdate::default()
    };
    gateway.update(START, gone);
    let step = ask(&mut gateway, START, 7, AttemptOutcome::Answered);
    expect_that!(step, matches_pattern!(NextStep::Wait(_)));
    let later = START + Duration::from_secs(2);
    let NextStep::Refuse(refusal) = ask(&mut gateway, later, 7, AttemptOutcome::Answered) else {
        panic!("expected a refusal");
    };
    expect_that!(refusal.reason, eq(RefusalReason::NoOwner));
    expect_that!(refusal.may_have_run, eq(false));
}
