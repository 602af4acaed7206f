//! Tests when an entry VM considers its own path to servers cut, without a network.

use std::time::Duration;

use crate::support::{START, expect_sent, gateway_with, metadata, owned, ranges, server};
use chicory_directory::{DirectoryUpdate, ServerRecord, ServerState};
use chicory_gateway::{
    Admission, AttemptOutcome, Gateway, GatewayConfig, NextStep, ProbeResult, ReachabilityChange,
    RequestTicket, ServerGroup,
};
use googletest::prelude::*;

const TICK: Duration = Duration::from_millis(50);
/// Users require that callers are served 3 s after a cut began; half of that is left to the relays.
pub const LONGEST_DETECTION: Duration = Duration::from_millis(1500);

/// Creates a gateway with servers of three services in two zones.
pub fn gateway_over_two_zones() -> Gateway {
    gateway_over_two_zones_with(GatewayConfig::default())
}

pub fn gateway_over_two_zones_with(config: GatewayConfig) -> Gateway {
    let mut gateway = gateway_with(config);
    let names = ["a3", "a4", "a5", "a6", "l3", "l4", "o3", "o4"];
    let south = names.map(|name| ServerRecord {
        zone: "south".into(),
        ..server(name, service_of(name), ServerState::Ready)
    });
    let update = DirectoryUpdate {
        version: 9,
        last_fence: 9,
        servers: south.into(),
        ranges: ranges(vec![owned(500, 999, "a3", 8), owned(1500, 1999, "a4", 9)]),
        ..DirectoryUpdate::default()
    };
    gateway.update(START, update);
    gateway
}

fn service_of(name: &str) -> &str {
    match &name[..1] {
        "a" => "archive",
        "l" => "library",
        _ => "ledger",
    }
}

/// Sends a request to the owner of a key.
fn send(gateway: &mut Gateway, now: Duration, key: u16) -> RequestTicket {
    let admission = gateway.admit(now, "host", "/reads/x", &metadata(Some(key)));
    let Admission::Accepted(mut ticket) = admission else {
        panic!("refused: {admission:?}");
    };
    expect_sent(gateway.next_step(now, &mut ticket));
    ticket
}

/// Ends one attempt at the owner of a key.
fn end_attempt(gateway: &mut Gateway, now: Duration, key: u16, outcome: AttemptOutcome) {
    let mut ticket = send(gateway, now, key);
    gateway.record_attempt_end(now, &mut ticket, outcome);
}

/// Carries out probes for a time. Returns the servers that were probed.
pub fn probe_until(
    gateway: &mut Gateway,
    from: Duration,
    until: Duration,
    is_open: impl Fn(&ServerRecord) -> bool,
) -> Vec<ServerRecord> {
    let mut probed = Vec::new();
    let mut now = from;
    while now < until {
        for record in gateway.take_probes(now) {
            let result = if is_open(&record) {
                ProbeResult::Answered
            } else {
                ProbeResult::Unanswered
            };
            gateway.record_probe(now, &record.incarnation, result);
            probed.push(record);
        }
        now += TICK;
    }
    probed
}

fn change(group: ServerGroup, is_cut: bool) -> ReachabilityChange {
    ReachabilityChange { group, is_cut }
}

#[gtest]
fn no_server_is_probed_while_attempts_are_answered() {
    let mut gateway = gateway_over_two_zones();
    for step in 0..40 {
        let now = START + TICK * step;
        end_attempt(&mut gateway, now, 7, AttemptOutcome::Answered);
        expect_that!(gateway.take_probes(now), is_empty());
    }
    expect_that!(gateway.can_relay(START + TICK * 40), eq(true));
}

#[gtest]
fn first_failed_connection_is_enough_to_find_a_cut() {
    let mut gateway = gateway_over_two_zones();
    end_attempt(&mut gateway, START, 7, AttemptOutcome::Unreachable);
    let until = START + LONGEST_DETECTION;
    probe_until(&mut gateway, START, until, |_| false);
    let changes = gateway.take_reachability_changes();
    expect_that!(changes, eq(&vec![change(ServerGroup::All, true)]));
    expect_that!(gateway.can_relay(until), eq(false));
    expect_that!(gateway.take_report(until).can_relay, eq(false));
}

#[gtest]
fn attempt_that_hangs_is_enough_to_find_a_cut() {
    let mut gateway = gateway_over_two_zones();
    send(&mut gateway, START, 7);
    let until = START + LONGEST_DETECTION;
    probe_until(&mut gateway, START, until, |_| false);
    expect_that!(gateway.can_relay(until), eq(false));
}

#[gtest]
fn one_crashed_server_is_no_cut_and_is_not_probed_for_long() {
    let mut gateway = gateway_over_two_zones();
    let mut probe_count = 0;
    let attempts: u32 = 20;
    for step in 0..attempts {
        // A server that can't be reached is tried only once in a while.
        let now = START + Duration::from_millis(300) * step;
        end_attempt(&mut gateway, now, 7, AttemptOutcome::Refused);
        let until = now + Duration::from_millis(300);
        let is_open = |record: &ServerRecord| record.incarnation.server != "a1";
        probe_count += probe_until(&mut gateway, now, until, is_open).len();
        expect_that!(gateway.can_relay(until), eq(true));
    }
    expect_that!(gateway.take_reachability_changes(), is_empty());
    // One for each group that the server belongs to.
    expect_that!(probe_count, le(3));
}

#[gtest]
fn answers_on_open_connections_do_not_hide_a_cut() {
    let mut gateway = gateway_over_two_zones();
    for step in 0..30 {
        let now = START + TICK * step;
        end_attempt(&mut gateway, now, 1200, AttemptOutcome::Answered);
        if step == 0 {
            end_attempt(&mut gateway, now, 7, AttemptOutcome::Refused);
        }
        probe_until(&mut gateway, now, now + TICK, |_| false);
    }
    expect_that!(gateway.can_relay(START + LONGEST_DETECTION), eq(false));
}

/// A full link delays new connections past their time limit while it still carries an answer.
#[gtest]
fn timeouts_while_parts_of_an_answer_arrive_are_no_cut() {
    let mut gateway = gateway_over_two_zones();
    let admission = gateway.admit(START, "host", "/plans/x", &metadata(None));
    let Admission::Accepted(mut ticket) = admission else {
        panic!("refused: {admission:?}");
    };
    let target = expect_sent(gateway.next_step(START, &mut ticket));
    for step in 0..60 {
        let now = START + TICK * step;
        if step % 4 == 0 {
            gateway.record_progress(now, &target.incarnation);
        }
        for key in [7, 600, 1600] {
            let admission = gateway.admit(now, "host", "/reads/x", &metadata(Some(key)));
            let Admission::Accepted(mut ticket) = admission else {
                continue;
            };
            if let NextStep::Send(_) = gateway.next_step(now, &mut ticket) {
                gateway.record_attempt_end(now, &mut ticket, AttemptOutcome::Unreachable);
            }
        }
        probe_until(&mut gateway, now, now + TICK, |_| false);
        for change in gateway.take_reachability_changes() {
            // Nothing has arrived from the servers of other zones and services.
            expect_that!(change.group, not(eq(&ServerGroup::All)), "{now:?}");
            expect_that!(
                change.group,
                not(eq(&ServerGroup::Service("library".into())))
            );
        }
    }
}

#[gtest]
fn probes_wait_longer_where_connections_open_slowly() {
    let mut gateway = gateway_over_two_zones();
    expect_that!(gateway.probe_timeout(START), eq(Duration::from_millis(300)));
    gateway.record_connect_time(START, Duration::from_millis(250));
    gateway.record_connect_time(START, Duration::from_millis(20));
    let slow = Duration::from_millis(500);
    expect_that!(gateway.probe_timeout(START + TICK), eq(slow));
    let soon = START + Duration::from_secs(4);
    expect_that!(gateway.probe_timeout(soon), eq(slow));
    // A cut has to be found soon on any link.
    gateway.record_connect_time(soon, Duration::from_secs(5));
    expect_that!(gateway.probe_timeout(soon), le(LONGEST_DETECTION / 3 * 2));
    let later = soon + Duration::from_secs(20);
    expect_that!(gateway.probe_timeout(later), eq(Duration::from_millis(300)));
}

#[gtest]
fn cut_of_one_zone_is_not_taken_for_a_cut_of_all_servers() {
    let mut gateway = gateway_over_two_zones();
    end_attempt(&mut gateway, START, 600, AttemptOutcome::Unreachable);
    end_attempt(&mut gateway, START, 1600, AttemptOutcome::Unreachable);
    let until = START + LONGEST_DETECTION;
    probe_until(&mut gateway, START, until, |record| record.zone == "north");
    let changes = gateway.take_reachability_changes();
    let south = ServerGroup::Zone("south".into());
    expect_that!(changes, eq(&vec![change(south, true)]));
}

#[gtest]
fn servers_are_probed_seldom_during_a_cut_until_two_are_reached() {
    let mut gateway = gateway_over_two_zones();
    end_attempt(&mut gateway, START, 7, AttemptOutcome::Unreachable);
    let found_at = START + LONGEST_DETECTION;
    probe_until(&mut gateway, START, found_at, |_| false);
    gateway.take_reachability_changes();
    let healed_at = found_at + Duration::from_secs(10);
    let probed = probe_until(&mut gateway, found_at, healed_at, |_| false);
    // At most one each 200 ms.
    expect_that!(probed.len(), le(50));
    expect_that!(gateway.take_reachability_changes(), is_empty());
    let probed = probe_until(
        &mut gateway,
        healed_at,
        healed_at + Duration::from_secs(1),
        |_| true,
    );
    let changes = gateway.take_reachability_changes();
    expect_that!(changes, eq(&vec![change(ServerGroup::All, false)]));
    expect_that!(probed.len(), eq(2));
    expect_that!(probed[0].incarnation, not(eq(&probed[1].incarnation)));
    // Requests are sent directly at once.
    send(&mut gateway, healed_at + TICK, 7);
}

#[gtest]
fn entry_vm_that_stops_relays_nothing() {
    let mut gateway = gateway_over_two_zones();
    gateway.set_stopping(Duration::MAX);
    expect_that!(gateway.can_relay(START), eq(false));
}

#[gtest]
fn gateway_names_the_time_of_the_next_probe_only_while_there_may_be_one() {
    let mut gateway = gateway_over_two_zones();
    expect_that!(gateway.next_probe_at(START), none());
    let mut ticket = send(&mut gateway, START, 600);
    let silent_at = gateway.next_probe_at(START).expect("a time");
    expect_that!(silent_at, gt(START));
    expect_that!(
        gateway.take_probes(silent_at.saturating_sub(TICK)),
        is_empty()
    );
    expect_that!(gateway.take_probes(silent_at).len(), eq(1));
    gateway.record_attempt_end(silent_at, &mut ticket, AttemptOutcome::Answered);
    expect_that!(gateway.next_probe_at(silent_at), none());

    let now = silent_at + LONGEST_DETECTION;
    end_attempt(&mut gateway, now, 600, AttemptOutcome::Unreachable);
    expect_that!(gateway.next_probe_at(now), some(eq(now)));
    expect_that!(gateway.take_probes(now).len(), eq(1));
    expect_that!(gateway.next_probe_at(now), some(gt(now)));
}

/// Breaks the connection of a request that is watched for crashes.
fn break_watched_request(gateway: &mut Gateway, now: Duration, key: u16) {
    let mut ticket = send(gateway, now, key);
    ticket.set_fingerprint(42);
    gateway.record_attempt_end(now, &mut ticket, AttemptOutcome::Broken);
}

#[gtest]
fn request_that_a_cut_broke_is_not_reported_as_a_crash() {
    let mut gateway = gateway_over_two_zones();
    break_watched_request(&mut gateway, START, 7);
    end_attempt(&mut gateway, START, 8, AttemptOutcome::Refused);
    let until = START + LONGEST_DETECTION;
    probe_until(&mut gateway, START, until, |_| false);
    expect_that!(gateway.take_report(until).poison, is_empty());
}

#[gtest]
fn request_that_broke_while_a_cut_is_suspected_is_not_reported_as_a_crash() {
    let mut gateway = gateway_over_two_zones();
    for key in [600, 1600] {
        end_attempt(&mut gateway, START, key, AttemptOutcome::Refused);
    }
    break_watched_request(&mut gateway, START, 7);
    end_attempt(&mut gateway, START, 8, AttemptOutcome::Refused);
    expect_that!(gateway.take_report(START).poison, is_empty());
}

#[gtest]
fn request_that_broke_its_server_is_reported_if_others_are_reached() {
    let mut gateway = gateway_over_two_zones();
    break_watched_request(&mut gateway, START, 7);
    end_attempt(&mut gateway, START, 8, AttemptOutcome::Refused);
    let until = START + LONGEST_DETECTION;
    let is_open = |record: &ServerRecord| record.incarnation.server != "a1";
    probe_until(&mut gateway, START, until, is_open);
    expect_that!(gateway.take_report(until).poison.len(), eq(1));
}
