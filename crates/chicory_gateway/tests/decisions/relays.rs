//! Tests which requests are sent by way of other entry VMs, without a network.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

use crate::reachability::{
    LONGEST_DETECTION, gateway_over_two_zones, gateway_over_two_zones_with, probe_until,
};
use crate::support::{START, expect_sent, metadata, server, table};
use chicory_directory::{DirectoryUpdate, RelayPeer, ServerRecord, ServerState};
use chicory_gateway::{
    Admission, AttemptOutcome, Gateway, GatewayConfig, NextStep, Policy, RefusalReason,
    RelayRecheck, RequestMetadata, RequestTicket, RestNotice, ServerNotices,
};
use chicory_ranges::ServerIncarnation;
use chicory_routes::RouteTableDelta;
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
pub fn cut_off(is_open: impl Fn(&str) -> bool) -> (Gateway, Duration) {
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

pub fn admit(gateway: &mut Gateway, now: Duration, path: &str, key: Option<u16>) -> RequestTicket {
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
    let mut used = Vec::new();
    for _ in 0..12 {
        let mut ticket = admit(&mut gateway, now, "/plans/x", None);
        let target = expect_sent(gateway.next_step(now, &mut ticket));
        used.extend(target.relay.map(|peer| peer.vm));
    }
    // A peer of the own zone has two requests more in flight than one of another zone.
    let own: BTreeSet<String> = ["e3", "e4"].map(String::from).into();
    expect_that!(used[..4], each(predicate(|vm: &String| own.contains(vm))));
    let count = |name: &str| used.iter().filter(|vm| *vm == name).count();
    expect_that!(["e1", "e2", "e3", "e4"].map(count), eq([2, 2, 4, 4]));
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

/// Guards against orders that are refused, and healthy relay peers that are paused, because servers
/// left while relay peers read the bodies.
#[gtest]
fn order_that_a_relay_peer_withholds_from_a_server_that_left_goes_to_another_one() {
    for is_removed in [false, true] {
        let (mut gateway, now) = cut_off(|_| false);
        let mut routes = table(2);
        for route in &mut routes.routes {
            route.timeout = None;
        }
        let untimed = DirectoryUpdate {
            version: 10,
            routes: Some(RouteTableDelta::whole(&routes)),
            ..DirectoryUpdate::default()
        };
        gateway.update(now, untimed);
        let four_seconds = RequestMetadata {
            time_left: Some(Duration::from_secs(4)),
            ..metadata(None)
        };
        let mut sent = Vec::new();
        for _ in 0..24 {
            let admission = gateway.admit(now, "host", "/orders/x", &four_seconds);
            let Admission::Accepted(mut ticket) = admission else {
                panic!("refused: {admission:?}");
            };
            let target = expect_sent(gateway.next_step(now, &mut ticket));
            expect_that!(target.relay, some(anything()));
            sent.push((ticket, target));
        }
        let leaving = ["o1", "o2", "o3"];
        let mut left = DirectoryUpdate {
            version: 11,
            ..DirectoryUpdate::default()
        };
        for name in leaving {
            if is_removed {
                left.removed.push(ServerIncarnation::new(name, 1));
            } else {
                left.servers
                    .push(server(name, "ledger", ServerState::Draining));
            }
        }
        gateway.update(now, left);
        let now = now + Duration::from_millis(1250);
        sent.retain(|(_, target)| leaving.contains(&target.incarnation.server.as_str()));
        expect_that!(sent.len(), ge(9));
        for (ticket, _) in &mut sent {
            let unreachable = AttemptOutcome::UnreachableFromRelay;
            let may_retry = gateway.record_attempt_end(now, ticket, unreachable);
            expect_that!(may_retry, eq(true));
            let next = expect_sent(gateway.next_step(now, ticket));
            expect_that!(next.incarnation.server, eq("o4"));
            expect_that!(next.relay, some(anything()));
        }
    }
}

/// Guards against requests that reach a server by way of this entry VM after it has left.
#[gtest]
fn relayed_request_is_withheld_from_a_server_that_left() {
    let mut gateway = gateway_over_two_zones();
    let record = server("o1", "ledger", ServerState::Draining);
    let (server, address) = (record.incarnation.clone(), record.address);
    let recheck = |gateway: &Gateway, now| gateway.recheck_relayed(now, &server, address);
    expect_that!(recheck(&gateway, START), eq(RelayRecheck::Send));
    let update = |version| DirectoryUpdate {
        version,
        ..DirectoryUpdate::default()
    };
    let draining = DirectoryUpdate {
        servers: vec![record.clone()],
        ..update(10)
    };
    gateway.update(START, draining);
    let grace = Duration::from_millis(1200);
    let within = START + grace.saturating_sub(Duration::from_millis(1));
    expect_that!(recheck(&gateway, within), eq(RelayRecheck::Send));
    expect_that!(recheck(&gateway, START + grace), eq(RelayRecheck::Withhold));
    let removed = DirectoryUpdate {
        removed: vec![server.clone()],
        ..update(11)
    };
    gateway.update(START, removed);
    expect_that!(recheck(&gateway, START), eq(RelayRecheck::Withhold));
    // A server that was removed by mistake is added again as the same incarnation.
    let ready = ServerRecord {
        state: ServerState::Ready,
        ..record
    };
    let added = DirectoryUpdate {
        servers: vec![ready],
        ..update(12)
    };
    gateway.update(START, added);
    expect_that!(recheck(&gateway, START), eq(RelayRecheck::Send));
    // A full update removes what it does not contain.
    let emptied = DirectoryUpdate {
        is_full: true,
        ..update(13)
    };
    gateway.update(START, emptied);
    expect_that!(recheck(&gateway, START), eq(RelayRecheck::Withhold));
}

/// Guards against requests that reach a server by way of this entry VM while it has asked it for a
/// pause.
#[gtest]
fn relayed_request_is_withheld_from_a_server_that_rests() {
    let mut gateway = gateway_over_two_zones();
    let record = server("o1", "ledger", ServerState::Ready);
    let notices = ServerNotices {
        rest: RestNotice::For(Duration::from_secs(2)),
        ..ServerNotices::default()
    };
    gateway.record_rest(START, &record.incarnation, &notices);
    let during = gateway.recheck_relayed(START, &record.incarnation, record.address);
    expect_that!(during, eq(RelayRecheck::Withhold));
    let after = START + Duration::from_secs(3);
    let after = gateway.recheck_relayed(after, &record.incarnation, record.address);
    expect_that!(after, eq(RelayRecheck::Send));
}

/// Guards against refusals by a relay peer whose directory is older than that of the entry VM of the
/// caller, and against requests that it sends to an earlier start of their server.
#[gtest]
fn incarnation_that_was_never_known_is_told_from_one_that_has_ended() {
    let gateway = gateway_over_two_zones();
    let record = server("o1", "ledger", ServerState::Ready);
    for (id, started_at_ms, expected) in [
        ("o9", 1, RelayRecheck::NotKnownYet),
        ("o1", 2, RelayRecheck::NotKnownYet),
        ("o1", 1, RelayRecheck::Send),
        ("o1", 0, RelayRecheck::Withhold),
    ] {
        let server = ServerIncarnation::new(id, started_at_ms);
        let recheck = gateway.recheck_relayed(START, &server, record.address);
        expect_that!(recheck, eq(expected), "{server}");
    }
    let elsewhere = SocketAddr::from(([10, 0, 0, 9], 1));
    let recheck = gateway.recheck_relayed(START, &record.incarnation, elsewhere);
    expect_that!(recheck, eq(RelayRecheck::NotKnownYet));
}
