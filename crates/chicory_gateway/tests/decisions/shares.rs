//! Choices by shares of servers' slots.

use std::time::Duration;

use chicory_directory::{ServerShare, ServiceShares, StatedLoad};
use chicory_gateway::{
    AttemptOutcome, Gateway, GatewayConfig, LoadNotice, NextStep, Policy, ServerNotices,
};
use chicory_ranges::ServerIncarnation;
use googletest::prelude::*;

use crate::support::{START, admit, expect_sent, gateway, gateway_with};

fn share(server: &str, slots: f64) -> ServerShare {
    ServerShare {
        incarnation: ServerIncarnation::new(server, 1),
        slots,
        speed: 1.0,
    }
}

fn record_shares(gateway: &mut Gateway, shares: Vec<ServerShare>) {
    let services = vec![ServiceShares {
        service: "library".into(),
        shares,
    }];
    gateway.record_server_shares(START, services);
}

fn state_load(gateway: &mut Gateway, server: &str, total: u32) {
    let stated = StatedLoad {
        running: total.min(3),
        waiting: total.saturating_sub(3),
        slots: 3,
        work_time_percent: None,
    };
    let notices = ServerNotices {
        load: LoadNotice::Stated(stated),
        ..ServerNotices::default()
    };
    gateway.record_load(START, &ServerIncarnation::new(server, 1), &notices);
}

/// Guards against entry VMs that use each other's slots while their own are free.
#[gtest]
fn own_slots_are_used_before_those_of_others() {
    for own in ["l1", "l2"] {
        let mut gateway = gateway();
        record_shares(&mut gateway, vec![share(own, 2.0)]);
        for _ in 0..2 {
            let mut ticket = admit(&mut gateway, "/plans/1", None);
            let target = expect_sent(gateway.next_step(START, &mut ticket));
            expect_that!(target.incarnation.server, eq(own));
        }
        expect_that!(gateway.take_share_counts().within, eq(2));
    }
}

/// Guards against a request that is held for long, or not sent at all, while own slots are taken.
#[gtest]
fn request_awaits_an_own_slot_for_a_short_time_only() {
    let mut gateway = gateway();
    record_shares(&mut gateway, vec![share("l1", 1.0)]);
    let mut first = admit(&mut gateway, "/plans/1", None);
    expect_sent(gateway.next_step(START, &mut first));
    state_load(&mut gateway, "l2", 3);
    let mut second = admit(&mut gateway, "/plans/2", None);
    let NextStep::Wait(until) = gateway.next_step(START, &mut second) else {
        panic!("expected the request to wait");
    };
    expect_that!(until, lt(START + Duration::from_millis(125)));
    expect_that!(second.awaits_slot(), eq(true));
    expect_that!(gateway.has_awaited_slots(START), eq(true));
    expect_sent(gateway.next_step(until, &mut second));
    expect_that!(gateway.take_share_counts().beyond, eq(1));
}

/// Guards against a slot that becomes free and is not used by the request that awaits it.
#[gtest]
fn request_that_awaits_an_own_slot_gets_it_once_it_is_free() {
    let mut gateway = gateway();
    record_shares(&mut gateway, vec![share("l1", 1.0)]);
    let mut first = admit(&mut gateway, "/plans/1", None);
    expect_sent(gateway.next_step(START, &mut first));
    state_load(&mut gateway, "l2", 3);
    let mut second = admit(&mut gateway, "/plans/2", None);
    expect_that!(
        gateway.next_step(START, &mut second),
        matches_pattern!(NextStep::Wait(_))
    );
    let later = START + Duration::from_millis(5);
    gateway.record_attempt_end(later, &mut first, AttemptOutcome::Answered);
    let target = expect_sent(gateway.next_step(later, &mut second));
    expect_that!(target.incarnation.server, eq("l1"));
}

/// Guards against a server that draws all requests by stating that it is idle: it rejected one, so
/// it is full whatever it states.
#[gtest]
fn rejection_counts_more_than_a_stated_load() {
    let mut gateway = gateway();
    record_shares(&mut gateway, vec![share("l1", 3.0)]);
    state_load(&mut gateway, "l1", 0);
    let mut ticket = admit(&mut gateway, "/plans/1", None);
    let target = expect_sent(gateway.next_step(START, &mut ticket));
    expect_that!(target.incarnation.server, eq("l1"));
    gateway.record_attempt_end(START, &mut ticket, AttemptOutcome::Shed);
    for _ in 0..5 {
        let mut next = admit(&mut gateway, "/plans/2", None);
        let target = expect_sent(gateway.next_step(START, &mut next));
        expect_that!(target.incarnation.server, eq("l2"));
    }
    expect_that!(gateway.take_share_counts().rejected, eq(1));
}

/// Guards against a server without requests because it always states that it is full.
#[gtest]
fn server_that_always_states_a_long_queue_is_still_used() {
    let mut gateway = gateway();
    record_shares(&mut gateway, vec![share("l1", 1.0)]);
    state_load(&mut gateway, "l1", 1000);
    let mut ticket = admit(&mut gateway, "/plans/1", None);
    let target = expect_sent(gateway.next_step(START, &mut ticket));
    expect_that!(target.incarnation.server, eq("l1"));
}

/// Guards against shares that have an effect although they are switched off, or although the
/// servers that they name have gone.
#[gtest]
fn shares_have_no_effect_when_switched_off_or_outdated() {
    let mut config = GatewayConfig::default();
    config.disabled_policies.insert(Policy::Shares);
    let mut gateway = gateway_with(config);
    expect_that!(gateway.take_report(START).accepts_server_shares, eq(false));
    record_shares(&mut gateway, vec![share("l1", 3.0)]);
    let mut ticket = admit(&mut gateway, "/plans/1", None);
    expect_sent(gateway.next_step(START, &mut ticket));
    expect_that!(gateway.take_share_counts().within, eq(0));
    let mut gateway = self::gateway();
    expect_that!(gateway.take_report(START).accepts_server_shares, eq(true));
    record_shares(&mut gateway, vec![share("l9", 3.0)]);
    let mut ticket = admit(&mut gateway, "/plans/1", None);
    expect_sent(gateway.next_step(START, &mut ticket));
}
