//! Tests which requests are sent by way of other entry VMs, without a network.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

use crate::reachability::{
    LONGEST_DETECTION, gateway_over_two_zones, gateway_over_two_zones_with, probe_until,
};
use crate::support::{START, expect_sent, metadata};
use chicory_directory::RelayPeer;
use chicory_gateway::{
    Admission, AttemptOutcome, Gateway, GatewayConfig, NextStep, Policy, RefusalReason,
    RequestTicket,
};
use googletest::prelude::*;

fn peers() -> Vec<RelayPeer> {
    let peer = |vm: &str, port: u16, zone: &str| RelayPeer {
        vm: vm.into(),
        address: SocketAddr::from(([10, 0, 0, 2], port)),
        zone: zone.into(),
    };
    vec![
        peer("e1", 9001, "north"),
        peer("e2", 9002, "north"),
        peer("e3", 9003, "south"),
        peer("e4", 9004, "south"),
    ]
}

fn gateway_with_relays() -> Gateway {
    let mut gateway = gateway_over_two_zones();
    gateway.set_relays(peers());
    gateway
}

/// Creates a gateway that is cut off from the servers for which `is_open` returns `false`, and
/// returns the time at which it knows that.
fn cut_off(is_open: impl Fn(&str) -> bool) -> (Gateway, Duration) {
    let mut gateway = gateway_with_relays();
    for key in [600, 1600] {
        let mut ticket = admit(&mut gateway, START, "/reads/x", Some(key));
        expect_sent(gateway.next_step(START, &mut ticket));
        gateway.record_attempt_end(START, &mut ticket, AttemptOutcome::Unreachable);
    }
    let now = START + LONGEST_DETECTION;
    probe_until(&mut gateway, START, now, |record| is_open(&record.zone));
    (gateway, now)
}

fn admit(gateway: &mut Gateway, now: Duration, path: &str, key: Option<u16>) -> RequestTicket {
    match gateway.admit(now, "host", path, &metadata(key)) {
        Admission::Accepted(ticket) => ticket,
        Admission::Refused(refusal) => panic!("refused: {refusal:?}"),
    }
}

fn reason_of(step: &NextStep) -> RefusalReason {
    match step {
        NextStep::Refuse(refusal) => {
            expect_that!(refusal.may_have_run, eq(false));
            expect_that!(refusal.retry_after, some(anything()));
            refusal.reason
        }
        step => panic!("expected a refusal, got {step:?}"),
    }
}

#[gtest]
fn requests_of_an_entry_vm_that_is_cut_off_are_relayed_to_the_server_chosen() {
    let (mut gateway, now) = cut_off(|_| false);
    let mut used = BTreeSet::new();
    for (path, key) in [
        ("/reads/x", Some(7)),
        ("/plans/x", None),
        ("/orders/x", None),
    ] {
        let mut ticket = admit(&mut gateway, now, path, key);
        let target = expect_sent(gateway.next_step(now, &mut ticket));
        used.extend(target.relay.map(|peer| peer.vm));
        if key.is_some() {
            expect_that!(target.incarnation.server, eq("a1"));
        }
    }
    // They are spread over the peers.
    expect_that!(used.len(), ge(2));
    expect_that!(gateway.can_relay(now), eq(false));
}

#[gtest]
fn peers_of_the_own_zone_are_preferred() {
    let config = GatewayConfig {
        zone: "south".into(),
        ..GatewayConfig::default()
    };
    let mut gateway = gateway_over_two_zones_with(config);
    gateway.set_relays(peers());
    for _ in 0..4 {
        let mut ticket = admit(&mut gateway, START, "/orders/x", None);
        expect_sent(gateway.next_step(START, &mut ticket));
        gateway.record_attempt_end(START, &mut ticket, AttemptOutcome::Unreachable);
    }
    let now = START + LONGEST_DETECTION;
    probe_until(&mut gateway, START, now, |_| false);
    let mut used = BTreeSet::new();
    for _ in 0..10 {
        let mut ticket = admit(&mut gateway, now, "/plans/x", None);
        let target = expect_sent(gateway.next_step(now, &mut ticket));
        used.extend(target.relay.map(|peer| peer.vm));
    }
    let expected: BTreeSet<String> = ["e3", "e4"].map(String::from).into();
    expect_that!(used, eq(&expected));
}

#[gtest]
fn request_whose_connection_fails_is_relayed_before_the_cut_is_certain() {
    let mut gateway = gateway_with_relays();
    let mut ticket = admit(&mut gateway, START, "/reads/x", Some(7));
    let first = expect_sent(gateway.next_step(START, &mut ticket));
    expect_that!(first.relay, none());
    let unreachable = AttemptOutcome::Unreachable;
    expect_that!(
        gateway.record_attempt_end(START, &mut ticket, unreachable),
        eq(true)
    );
    let second = expect_sent(gateway.next_step(START, &mut ticket));
    expect_that!(second.relay, some(anything()));
    expect_that!(second.incarnation, eq(&first.incarnation));
}

#[gtest]
fn relayed_requests_use_no_retries() {
    let config = GatewayConfig {
        retry_ratio: 0.0,
        retry_slack: 0.0,
        ..GatewayConfig::default()
    };
    let mut gateway = gateway_over_two_zones_with(config);
    gateway.set_relays(peers());
    for _ in 0..3 {
        let mut ticket = admit(&mut gateway, START, "/reads/x", Some(7));
        let NextStep::Send(target) = gateway.next_step(START, &mut ticket) else {
            panic!("expected the request to be sent");
        };
        let outcome = if target.relay.is_some() {
            AttemptOutcome::RelayUnavailable
        } else {
            AttemptOutcome::Unreachable
        };
        gateway.record_attempt_end(START, &mut ticket, outcome);
        let next = expect_sent(gateway.next_step(START, &mut ticket));
        expect_that!(next.relay, some(anything()));
        gateway.record_attempt_end(START, &mut ticket, AttemptOutcome::Answered);
    }
}

#[gtest]
fn peer_that_refuses_is_replaced_by_others_within_a_bound() {
    let (mut gateway, now) = cut_off(|_| false);
    let mut ticket = admit(&mut gateway, now, "/orders/x", None);
    let mut used = Vec::new();
    let reason = loop {
        match gateway.next_step(now, &mut ticket) {
            NextStep::Send(target) => {
                used.extend(target.relay.map(|peer| peer.vm));
                let outcome = AttemptOutcome::RelayUnavailable;
                if !gateway.record_attempt_end(now, &mut ticket, outcome) {
                    break gateway.final_refusal(now, &ticket, outcome).reason;
                }
            }
            step => break reason_of(&step),
        }
    };
    expect_that!(reason, eq(RefusalReason::Unreachable));
    expect_that!(used.len(), eq(3));
    let distinct: BTreeSet<&String> = used.iter().collect();
    expect_that!(distinct.len(), eq(3));
    // The peers get no further requests for a short time.
    let mut ticket = admit(&mut gateway, now, "/orders/x", None);
    let target = expect_sent(gateway.next_step(now, &mut ticket));
    let peer = target.relay.map(|peer| peer.vm).unwrap_or_default();
    expect_that!(used, not(contains(eq(&peer))));
}

#[gtest]
fn order_whose_relay_broke_may_have_run_and_is_not_sent_again() {
    let (mut gateway, now) = cut_off(|_| false);
    let mut ticket = admit(&mut gateway, now, "/orders/x", None);
    ticket.set_fingerprint(42);
    expect_sent(gateway.next_step(now, &mut ticket));
    let broken = AttemptOutcome::RelayBroken;
    expect_that!(
        gateway.record_attempt_end(now, &mut ticket, broken),
        eq(false)
    );
    let refusal = gateway.final_refusal(now, &ticket, broken);
    expect_that!(refusal.may_have_run, eq(true));
    expect_that!(refusal.retry_after, none());
    expect_that!(gateway.take_report(now).poison, is_empty());
}

#[gtest]
fn order_that_may_have_run_directly_is_not_relayed() {
    let mut gateway = gateway_with_relays();
    for outcome in [AttemptOutcome::Broken, AttemptOutcome::Silent] {
        let mut ticket = admit(&mut gateway, START, "/orders/x", None);
        expect_sent(gateway.next_step(START, &mut ticket));
        expect_that!(
            gateway.record_attempt_end(START, &mut ticket, outcome),
            eq(false)
        );
    }
}

#[gtest]
fn one_crashed_server_has_no_requests_of_other_servers_relayed() {
    let mut gateway = gateway_with_relays();
    for step in 0..20 {
        let now = START + Duration::from_millis(100) * step;
        for (path, key) in [
            ("/reads/x", Some(7)),
            ("/reads/x", Some(600)),
            ("/reads/x", Some(1200)),
            ("/plans/x", None),
            ("/orders/x", None),
        ] {
            let mut ticket = admit(&mut gateway, now, path, key);
            while let NextStep::Send(target) = gateway.next_step(now, &mut ticket) {
                let is_crashed = target.incarnation.server == "a1";
                let outcome = match target.relay {
                    Some(_) if is_crashed => AttemptOutcome::UnreachableFromRelay,
                    None if is_crashed => AttemptOutcome::Refused,
                    _ => AttemptOutcome::Answered,
                };
                expect_that!(is_crashed || target.relay.is_none(), eq(true), "{target:?}");
                if !gateway.record_attempt_end(now, &mut ticket, outcome) {
                    break;
                }
            }
        }
        let until = now + Duration::from_millis(100);
        let is_open = |name: &str| name != "a1";
        probe_until(&mut gateway, now, until, |record| {
            is_open(&record.incarnation.server)
        });
    }
    expect_that!(gateway.take_reachability_changes(), is_empty());
}

#[gtest]
fn requests_for_a_zone_that_no_peer_reaches_are_refused_at_once() {
    let (mut gateway, found_at) = cut_off(|zone| zone == "north");
    let mut relayed = 0;
    let mut refused_at_once = 0;
    let request_count: u32 = 60;
    for step in 0..request_count {
        let now = found_at + Duration::from_millis(50) * step;
        let mut ticket = admit(&mut gateway, now, "/reads/x", Some(600));
        let mut step = gateway.next_step(now, &mut ticket);
        if let NextStep::Refuse(_) = step {
            expect_that!(reason_of(&step), eq(RefusalReason::Unreachable));
            refused_at_once += 1;
        }
        while let NextStep::Send(target) = step {
            expect_that!(target.relay, some(anything()));
            relayed += 1;
            let outcome = AttemptOutcome::UnreachableFromRelay;
            if !gateway.record_attempt_end(now, &mut ticket, outcome) {
                break;
            }
            step = gateway.next_step(now, &mut ticket);
        }
        // Servers of the other zone are reached directly all the time.
        let mut other = admit(&mut gateway, now, "/reads/x", Some(7));
        let target = expect_sent(gateway.next_step(now, &mut other));
        expect_that!(target.relay, none());
        gateway.record_attempt_end(now, &mut other, AttemptOutcome::Answered);
    }
    // In 3 s, one request each 250 ms may show whether the zone is reached again, at two peers.
    expect_that!(relayed, le(2 * 13));
    expect_that!(refused_at_once, ge(request_count - 13));
}

/// The outcome follows the server, as for attempts that are sent directly.
#[gtest]
fn summary_of_attempts_names_the_relay_last() {
    let (mut gateway, now) = cut_off(|_| false);
    let mut ticket = admit(&mut gateway, now, "/reads/x", Some(7));
    let target = expect_sent(gateway.next_step(now, &mut ticket));
    gateway.record_attempt_end(now, &mut ticket, AttemptOutcome::Answered);
    let vm = target.relay.map(|peer| peer.vm).unwrap_or_default();
    let expected = format!("{}:answered:0ms:by-{vm}", target.incarnation);
    expect_that!(ticket.attempts_summary(), eq(&expected));
}

#[gtest]
fn slow_relays_do_not_make_a_server_seem_congested() {
    let (mut gateway, now) = cut_off(|_| false);
    for latency_ms in [100, 100, 400, 800, 800, 800, 800, 800, 800, 800] {
        let mut ticket = admit(&mut gateway, now, "/reads/x", Some(7));
        expect_sent(gateway.next_step(now, &mut ticket));
        let ended_at = now + Duration::from_millis(latency_ms);
        gateway.record_attempt_end(ended_at, &mut ticket, AttemptOutcome::Answered);
    }
    let mut ticket = admit(&mut gateway, now, "/reads/x", Some(7));
    expect_sent(gateway.next_step(now, &mut ticket));
    // An owner that is congested would not be tried again.
    let shed = AttemptOutcome::Shed;
    expect_that!(gateway.record_attempt_end(now, &mut ticket, shed), eq(true));
}

#[gtest]
fn nothing_is_relayed_without_the_policy() {
    let config = GatewayConfig {
        disabled_policies: [Policy::Relay].into(),
        ..GatewayConfig::default()
    };
    let mut gateway = gateway_over_two_zones_with(config);
    gateway.set_relays(peers());
    let mut ticket = admit(&mut gateway, START, "/reads/x", Some(7));
    expect_sent(gateway.next_step(START, &mut ticket));
    gateway.record_attempt_end(START, &mut ticket, AttemptOutcome::Unreachable);
    expect_that!(gateway.take_probes(START), is_empty());
    expect_that!(gateway.can_relay(START), eq(false));
    let mut next = admit(&mut gateway, START, "/reads/x", Some(7));
    let step = gateway.next_step(START, &mut next);
    expect_that!(reason_of(&step), eq(RefusalReason::Unreachable));
}
