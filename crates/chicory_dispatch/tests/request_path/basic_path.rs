//! The basic path of each kind of request to its server and back.

use crate::support::*;
use chicory_dispatch::{Effect, Event, Outcome, RefusalReason, RequestOrigin};
use googletest::prelude::*;

#[gtest]
fn keyed_request_is_written_with_its_token() {
    let mut world = World::new(&[(BOARD, "b1")]);
    expect_true!(world.path.is_ready());
    world.arrive(head(1, BOARD));
    world.run_for(ms(20));
    expect_true!(world.is_forwarded(1));
    expect_that!(world.writes[0].3, some(anything()));
    expect_true!(world.all_ended());
}

#[gtest]
fn order_is_claimed_before_its_only_write_and_its_resend_gets_the_stored_answer() {
    let mut world = World::new(&[(LEDGER, "l1")]);
    world.arrive(order(1, "k"));
    world.run_for(ms(20));
    world.arrive(order(2, "k"));
    world.run_for(ms(20));
    expect_true!(world.is_forwarded(1));
    expect_that!(world.finals.get(&2), some(eq(&Final::Stored)));
    expect_that!(world.writes.len(), eq(1));
}

#[gtest]
fn order_without_key_is_refused_as_not_run() {
    let mut world = World::new(&[(LEDGER, "l1")]);
    let mut head = order(1, "k");
    head.order_key = None;
    world.arrive(head);
    let expected = (RefusalReason::MissingOrderKey, Outcome::NotRun);
    expect_that!(world.refusal(1), some(eq(expected)));
}

#[gtest]
fn safe_method_on_a_service_of_orders_needs_no_claim() {
    let mut world = World::new(&[(LEDGER, "l1")]);
    let mut read = head(1, LEDGER);
    read.is_safe_method = true;
    world.arrive(read);
    world.run_for(ms(20));
    expect_true!(world.is_forwarded(1));
    expect_that!(world.path.counters().claims, eq(0));
}

#[gtest]
fn keyed_request_of_another_zone_is_relayed_there() {
    let mut world = World::new(&[(BOARD, "b1")]);
    world.change_view([custody(BOARD, FAR_ZONE)]);
    world.arrive(head(1, BOARD));
    let relays = world
        .count_effects(|e| matches!(e, Effect::Relay { to, hops: 1, .. } if to.starts_with("far")));
    expect_that!(relays, eq(1));
}

#[gtest]
fn third_hop_is_refused() {
    let mut world = World::new(&[(BOARD, "b1")]);
    world.change_view([dispatcher("b1", Some(PEER), 9)]);
    let mut relayed = head(1, BOARD);
    relayed.origin = RequestOrigin::Relay {
        hops: 2,
        from_zone: FAR_ZONE.to_owned(),
    };
    world.arrive(relayed);
    let expected = (RefusalReason::NoDispatcher, Outcome::NotRun);
    expect_that!(world.refusal(1), some(eq(expected)));
}

#[gtest]
fn relayed_refusal_of_an_order_is_forwarded() {
    let mut world = World::new(&[(LEDGER, "l1")]);
    world.change_view([dispatcher("l1", Some(PEER), 9)]);
    world.arrive(order(1, "k"));
    world.feed(Event::RelayAnswered {
        request: 1,
        outcome: Outcome::NotRun,
        retry_after: Some(ms(50)),
        load: chicory_dispatch::RelayLoad::default(),
    });
    expect_true!(world.is_forwarded(1));
    world.feed(Event::RelayFinished { request: 1 });
    expect_true!(world.all_ended());
}
