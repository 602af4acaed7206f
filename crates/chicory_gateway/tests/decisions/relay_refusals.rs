//! Tests which relay peers get requests after one has refused a request, without a network.

use std::collections::BTreeSet;
use std::time::Duration;

use chicory_directory::ServerRecord;
use chicory_gateway::{AttemptOutcome, Gateway};
use googletest::prelude::*;

use crate::reachability::{LONGEST_DETECTION, gateway_over_two_zones, probe_until};
use crate::relays::{admit, cut_off};
use crate::support::{START, expect_sent};

const REFUSED: AttemptOutcome = AttemptOutcome::RefusedByRelay;

/// Sends a request that ends like this, and returns the entry VM that relayed it.
fn relay_once(
    gateway: &mut Gateway,
    now: Duration,
    path: &str,
    key: Option<u16>,
    outcome: AttemptOutcome,
) -> String {
    let mut ticket = admit(gateway, now, path, key);
    let target = expect_sent(gateway.next_step(now, &mut ticket));
    gateway.record_attempt_end(now, &mut ticket, outcome);
    target.relay.map(|peer| peer.vm).unwrap_or_default()
}

#[gtest]
fn entry_vm_whose_link_is_full_still_relays_small_answers() {
    let (mut gateway, now) = cut_off(|_| false);
    let refusing = relay_once(&mut gateway, now, "/plans/x", None, REFUSED);
    let next = relay_once(&mut gateway, now, "/plans/x", None, REFUSED);
    expect_that!(next, not(eq(&refusing)));
    let small = [("/reads/x", Some(7)), ("/orders/x", None)];
    let used = small.map(|(path, key)| {
        let relayed = (0..8).map(|_| {
            let mut ticket = admit(&mut gateway, now, path, key);
            let target = expect_sent(gateway.next_step(now, &mut ticket));
            target.relay.map(|peer| peer.vm).unwrap_or_default()
        });
        relayed.collect::<BTreeSet<_>>()
    });
    for used in used {
        expect_that!(used, contains(eq(&refusing)));
        expect_that!(used, contains(eq(&next)));
    }
}

#[gtest]
fn entry_vm_that_does_not_reach_one_service_still_relays_for_others() {
    let (mut gateway, now) = cut_off(|_| false);
    let refusing = relay_once(&mut gateway, now, "/orders/x", None, REFUSED);
    for _ in 0..8 {
        let mut ticket = admit(&mut gateway, now, "/orders/x", None);
        let target = expect_sent(gateway.next_step(now, &mut ticket));
        let vm = target.relay.map(|peer| peer.vm).unwrap_or_default();
        expect_that!(vm, not(eq(&refusing)));
    }
    let used: BTreeSet<String> = (0..8)
        .map(|_| {
            let mut ticket = admit(&mut gateway, now, "/reads/x", Some(7));
            let target = expect_sent(gateway.next_step(now, &mut ticket));
            target.relay.map(|peer| peer.vm).unwrap_or_default()
        })
        .collect();
    expect_that!(used, contains(eq(&refusing)));
}

#[gtest]
fn entry_vm_relays_nothing_to_servers_that_it_does_not_reach() {
    let mut gateway = gateway_over_two_zones();
    for _ in 0..4 {
        let mut ticket = admit(&mut gateway, START, "/orders/x", None);
        expect_sent(gateway.next_step(START, &mut ticket));
        gateway.record_attempt_end(START, &mut ticket, AttemptOutcome::Unreachable);
    }
    let now = START + LONGEST_DETECTION;
    probe_until(&mut gateway, START, now, |record| {
        record.service != "ledger"
    });
    let servers: Vec<ServerRecord> = gateway.directory().servers().cloned().collect();
    expect_that!(gateway.can_relay(now), eq(true));
    for record in servers {
        let can_relay = gateway.can_relay_to(now, &record.incarnation);
        expect_that!(can_relay, eq(record.service != "ledger"), "{record:?}");
    }
}
