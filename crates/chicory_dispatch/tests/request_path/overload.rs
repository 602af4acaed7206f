//! Load beyond the capacity of the servers.

use std::time::Duration;

use chicory_dispatch::{Outcome, RefusalReason};
use googletest::prelude::*;
use proptest::prelude::{ProptestConfig as Config, prop, prop_assert, proptest};
use proptest::test_runner::RngSeed;

use crate::support::*;

#[gtest]
fn overload_of_one_service_does_not_affect_another() {
    let mut world = World::new(&[(BOARD, "b1"), (PLANS, "p1")]);
    // One server with 4 slots of 5 ms serves 800 requests a second; this is three times as much.
    for step in 0..1_000 {
        world.arrive(head(10_000 + step * 2, BOARD));
        world.arrive(head(10_001 + step * 2, BOARD));
        if step % 10 == 0 {
            world.arrive(head(1 + step / 10, PLANS));
        }
        world.run_for(Duration::from_micros(833));
    }
    world.run_for(ms(500));
    expect_that!(world.completed(1, 100), eq(100));
    expect_true!(world.all_ended());
    let goodput = world.completed(10_000, 2_000);
    expect_that!(goodput, ge(600));
}

#[gtest]
fn overload_of_one_key_does_not_affect_other_keys() {
    let mut world = World::new(&[(BOARD, "b1")]);
    let hot = |id| chicory_dispatch::RequestHead {
        key: Some("hot".to_owned()),
        ..head(id, BOARD)
    };
    for step in 0..1_000 {
        world.arrive(hot(10_000 + step * 2));
        world.arrive(hot(10_001 + step * 2));
        if step % 10 == 0 {
            world.arrive(head(1 + step / 10, BOARD));
        }
        world.run_for(Duration::from_micros(833));
    }
    world.run_for(ms(500));
    expect_that!(world.completed(1, 100), eq(100));
}

/// Returns the number of answers in time of a naive server, which has an unbounded first-in,
/// first-out queue.
fn naive_in_time(arrivals: &[(Duration, Duration)], slots: usize, service: Duration) -> usize {
    let mut free_at = vec![Duration::ZERO; slots];
    let mut in_time = 0;
    for (at, deadline) in arrivals {
        free_at.sort_unstable();
        let end = free_at[0].max(*at) + service;
        free_at[0] = end;
        in_time += usize::from(end <= *at + *deadline);
    }
    in_time
}

proptest! {
    #![proptest_config(Config {
        cases: 40,
        rng_seed: RngSeed::Fixed(20_261_204),
        failure_persistence: None,
        ..Config::default()
    })]

    #[test]
    fn admission_answers_no_fewer_in_time_than_a_naive_queue(
        load in prop::collection::vec((0_u64..8, 10_u64..400), 50..400),
    ) {
        let mut world = World::new(&[(PLANS, "p1")]);
        // The naive queue is unbounded. A high queue limit makes deadlines the only difference.
        let mut deep = table();
        if let Some(plans) = deep.services.get_mut(PLANS) {
            plans.queue_limit = 1_000;
        }
        world.change_view([chicory_ownership::ViewChange::TableInForce(deep)]);
        // The naive queue needs no connections and knows the service time, so open the connections
        // and measure the service time first.
        world.arrive_many(10_000, 40, ms(2), |id| head(id, PLANS));
        world.run_for(ms(100));
        let mut arrivals = Vec::new();
        for (id, (gap, deadline)) in (1..).zip(&load) {
            world.run_for(ms(*gap) / 4);
            arrivals.push((world.now, ms(*deadline)));
            world.arrive(chicory_dispatch::RequestHead {
                deadline: Some(ms(*deadline)),
                ..head(id, PLANS)
            });
        }
        world.run_for(ms(1_000));
        prop_assert!(world.all_ended());
        let product = world.completed(1, load.len() as u64);
        let naive = naive_in_time(&arrivals, 4, ms(5));
        prop_assert!(
            product * 100 >= naive * 95,
            "{product} answers in time, {naive} of the naive queue"
        );
    }
}

#[gtest]
fn refusal_is_immediate_and_has_a_retry_after_time() {
    let mut world = World::new(&[(PLANS, "p1")]);
    world.server("p1").service_time = ms(100);
    world.arrive_many(1, 4, ms(200), |id| head(id, PLANS));
    for id in 10..100 {
        world.arrive(head(id, PLANS));
    }
    let Some(Final::Refused(refusal)) = world.finals.get(&99) else {
        return add_failure!("no immediate refusal");
    };
    expect_that!(refusal.outcome, eq(Outcome::NotRun));
    expect_that!(refusal.retry_after, some(ge(ms(50))));
}

#[gtest]
fn wait_beyond_the_deadline_is_refused_at_once() {
    let mut world = World::new(&[(PLANS, "p1")]);
    world.server("p1").service_time = ms(100);
    world.arrive_many(1, 4, ms(200), |id| head(id, PLANS));
    for id in 10..18 {
        world.arrive(head(id, PLANS));
    }
    let mut short = head(20, PLANS);
    short.deadline = Some(ms(150));
    world.arrive(short);
    let expected = (RefusalReason::DeadlineTooShort, Outcome::NotRun);
    expect_that!(world.refusal(20), some(eq(expected)));
}

#[gtest]
fn rate_limit_of_the_table_holds() {
    let mut world = World::new(&[(PLANS, "p1")]);
    let mut limited = table();
    if let Some(plans) = limited.services.get_mut(PLANS) {
        plans.rate_limit_per_s = 100;
    }
    world.change_view([chicory_ownership::ViewChange::TableInForce(limited)]);
    world.arrive_many(1, 500, ms(2), |id| head(id, PLANS));
    expect_that!(world.writes.len(), all![ge(100), le(111)]);
    expect_that!(
        world.path.counters().refused(RefusalReason::RateLimited),
        ge(389)
    );
}

#[gtest]
fn retries_stay_within_their_budget_after_an_outage() {
    let mut world = World::new(&[(PLANS, "p1"), (PLANS, "p2")]);
    for name in ["p1", "p2"] {
        world.server(name).mode = Mode::Shedding;
    }
    world.arrive_many(1, 1_000, ms(2), |id| head(id, PLANS));
    world.run_for(ms(500));
    // A tenth of the new requests, at least one per second, and the burst of the budget.
    expect_that!(world.path.counters().retries, le(100 + 3 + 20));
    expect_that!(world.path.counters().retries_denied, ge(500));
}

#[gtest]
fn table_limit_in_flight_is_kept() {
    let mut world = World::new(&[(PLANS, "p1")]);
    world.server("p1").in_flight_limit = 2;
    let mut limited = table();
    if let Some(plans) = limited.services.get_mut(PLANS) {
        plans.max_in_flight = 2;
    }
    world.change_view([chicory_ownership::ViewChange::TableInForce(limited)]);
    for id in 1..=30 {
        world.arrive(head(id, PLANS));
    }
    world.run_for(ms(500));
    expect_that!(world.server("p1").max_in_flight, eq(2));
    expect_that!(world.completed(1, 30), eq(30));
}
