//! Tests of the budget of clients' connections.

use std::collections::BTreeMap;
use std::time::Duration;

use chicory_policy::{
    BudgetStep, CONNECTION_BYTES, ConnectionBudget, ConnectionId, ConnectionState, Eviction,
};
use chicory_types::MonoTime;
use googletest::prelude::*;

const MAX_BYTES: u64 = 8_000_000;
/// What connections with large content may use together.
const LARGE_BYTES: u64 = 7_000_000;
const MANY: usize = 1000;

fn at(millis: u64) -> MonoTime {
    Duration::from_millis(millis)
}

/// Returns a budget with this number of connections that receive bodies, with ids from 0.
fn receiving(connections: u64) -> ConnectionBudget {
    let mut budget = ConnectionBudget::new(MAX_BYTES);
    for id in 0..connections {
        let step = budget.open(at(id), id, 0, MANY);
        assert_eq!(step, granted([]));
        budget.set_state(at(id), id, ConnectionState::Receiving);
    }
    budget
}

fn granted<const N: usize>(evictions: [(ConnectionId, Eviction); N]) -> BudgetStep {
    BudgetStep::Granted(BTreeMap::from(evictions))
}

#[gtest]
fn body_that_fits_is_granted_and_freed_with_its_connection() {
    let mut budget = receiving(1);
    let most = budget.max_content_bytes();
    expect_that!(most, eq(LARGE_BYTES - CONNECTION_BYTES));
    expect_that!(budget.set_content(at(9), 0, most), eq(&granted([])));
    expect_that!(budget.used_bytes(), eq(LARGE_BYTES));
    expect_that!(
        budget.set_content(at(9), 0, most + 1),
        eq(&BudgetStep::Refused)
    );
    budget.close(0);
    expect_that!(budget.used_bytes(), eq(0));
    expect_that!(budget.connection_count(0), eq(0));
}

#[gtest]
fn largest_incomplete_body_gives_way_to_a_smaller_one() {
    let mut budget = receiving(3);
    for (id, bytes) in [(0, 3_000_000), (1, 3_500_000)] {
        expect_that!(budget.set_content(at(10), id, bytes), eq(&granted([])));
    }
    let step = budget.set_content(at(11), 2, 1_000_000);
    expect_that!(step, eq(&granted([(1, Eviction::Refuse)])));
    expect_that!(budget.used_bytes(), eq(4_000_000 + 3 * CONNECTION_BYTES));
}

#[gtest]
fn body_does_not_displace_smaller_ones() {
    let mut budget = receiving(3);
    for (id, bytes) in [(0, 3_000_000), (1, 3_500_000)] {
        expect_that!(budget.set_content(at(10), id, bytes), eq(&granted([])));
    }
    let used_bytes = budget.used_bytes();
    let step = budget.set_content(at(11), 2, 3_600_000);
    expect_that!(step, eq(&BudgetStep::Refused));
    expect_that!(budget.used_bytes(), eq(used_bytes));
}

#[gtest]
fn of_equal_bodies_the_one_that_stalls_gives_way() {
    let mut budget = receiving(2);
    expect_that!(budget.set_content(at(10), 0, 3_400_000), eq(&granted([])));
    expect_that!(budget.set_content(at(20), 1, 3_390_000), eq(&granted([])));
    budget.open(at(30), 2, 0, MANY);
    budget.set_state(at(30), 2, ConnectionState::Receiving);
    let step = budget.set_content(at(30), 2, 3_400_000);
    expect_that!(step, eq(&granted([(0, Eviction::Refuse)])));
    // It makes progress, so that a body of the same size does not displace it.
    budget.open(at(31), 3, 0, MANY);
    budget.set_state(at(31), 3, ConnectionState::Receiving);
    budget.record_progress(at(32), 1);
    budget.record_progress(at(32), 2);
    expect_that!(
        budget.set_content(at(31), 3, 3_400_000),
        eq(&BudgetStep::Refused)
    );
}

#[gtest]
fn memory_of_evicted_connections_counts_until_they_have_freed_it() {
    let mut budget = receiving(2);
    expect_that!(budget.set_content(at(10), 0, 6_900_000), eq(&granted([])));
    let step = budget.set_content(at(11), 1, 6_000_000);
    expect_that!(step, eq(&granted([(0, Eviction::Refuse)])));
    expect_that!(budget.is_exhausted(), eq(true));
    budget.release_content(0);
    expect_that!(budget.is_exhausted(), eq(false));
    expect_that!(budget.used_bytes(), eq(6_000_000 + 2 * CONNECTION_BYTES));
    budget.set_state(at(12), 1, ConnectionState::Answering);
    budget.open(at(13), 2, 0, MANY);
    let step = budget.set_content(at(13), 2, 5_000_000);
    expect_that!(step, eq(&granted([(1, Eviction::Close)])));
    expect_that!(budget.is_exhausted(), eq(true));
    budget.release_content(1);
    expect_that!(budget.is_exhausted(), eq(true));
    budget.close(1);
    expect_that!(budget.is_exhausted(), eq(false));
}

#[gtest]
fn complete_requests_are_not_evicted_and_leave_a_reserve_for_small_ones() {
    let mut budget = receiving(3);
    for id in [0, 1] {
        expect_that!(budget.set_content(at(10), id, 3_400_000), eq(&granted([])));
        budget.set_state(at(10), id, ConnectionState::Serving);
    }
    expect_that!(
        budget.set_content(at(11), 2, 200_000),
        eq(&BudgetStep::Refused)
    );
    expect_that!(budget.set_content(at(12), 2, 40_000), eq(&granted([])));
}

#[gtest]
fn answers_may_use_the_reserve() {
    let mut budget = receiving(3);
    for id in [0, 1] {
        expect_that!(budget.set_content(at(10), id, 3_400_000), eq(&granted([])));
        budget.set_state(at(10), id, ConnectionState::Serving);
    }
    expect_that!(
        budget.set_content(at(11), 2, 200_000),
        eq(&BudgetStep::Refused)
    );
    budget.set_state(at(11), 2, ConnectionState::Answering);
    expect_that!(budget.set_content(at(11), 2, 200_000), eq(&granted([])));
}

#[gtest]
fn answers_that_nobody_reads_give_way_to_others() {
    const ANSWER_BYTES: u64 = 192 * 1024;
    let mut budget = ConnectionBudget::new(MAX_BYTES);
    let mut closed = Vec::new();
    for id in 0..100 {
        let now = at(10 * id);
        budget.open(now, id, 0, MANY);
        budget.set_state(now, id, ConnectionState::Answering);
        match budget.set_content(now, id, ANSWER_BYTES) {
            BudgetStep::Granted(evictions) => closed.extend(evictions),
            BudgetStep::Refused => panic!("an answer without room"),
        }
        expect_that!(budget.used_bytes(), le(MAX_BYTES));
    }
    let first = (0..).map(|id| (id, Eviction::Close)).take(closed.len());
    expect_that!(closed, eq(&first.collect::<Vec<_>>()));
    expect_that!(closed.len(), gt(60));
}

#[gtest]
fn connection_that_has_been_idle_for_longest_is_closed_for_a_new_one() {
    let mut budget = ConnectionBudget::new(MAX_BYTES);
    for id in 0..3 {
        budget.open(at(id), id, 0, 3);
    }
    budget.set_state(at(10), 0, ConnectionState::Serving);
    budget.set_state(at(11), 1, ConnectionState::Idle);
    expect_that!(
        budget.open(at(12), 3, 0, 3),
        eq(&granted([(2, Eviction::Close)]))
    );
    expect_that!(
        budget.open(at(12), 4, 0, 3),
        eq(&granted([(1, Eviction::Close)]))
    );
    expect_that!(budget.connection_count(0), eq(3));
    budget.close(1);
    expect_that!(budget.connection_count(0), eq(3));
    // Another listener has connections of its own.
    expect_that!(budget.open(at(12), 5, 1, 3), eq(&granted([])));
}

#[gtest]
fn connections_in_use_are_closed_for_new_ones_only_if_they_stall() {
    let mut budget = ConnectionBudget::new(MAX_BYTES);
    let states = [
        ConnectionState::Receiving,
        ConnectionState::Answering,
        ConnectionState::Serving,
    ];
    for (id, state) in (0..).zip(states) {
        budget.open(at(0), id, 0, 3);
        budget.set_state(at(0), id, state);
    }
    expect_that!(budget.open(at(99), 3, 0, 3), eq(&BudgetStep::Refused));
    budget.record_progress(at(100), 0);
    expect_that!(
        budget.open(at(100), 3, 0, 3),
        eq(&granted([(1, Eviction::Close)]))
    );
    budget.set_state(at(100), 3, ConnectionState::Receiving);
    expect_that!(budget.open(at(100), 4, 0, 3), eq(&BudgetStep::Refused));
}

#[gtest]
fn connections_that_are_being_closed_use_nothing_more() {
    let mut budget = ConnectionBudget::new(MAX_BYTES);
    budget.open(at(0), 0, 0, 1);
    budget.open(at(1), 1, 0, 1);
    expect_that!(budget.set_content(at(2), 0, 10), eq(&BudgetStep::Refused));
    expect_that!(budget.set_content(at(2), 7, 10), eq(&BudgetStep::Refused));
    expect_that!(budget.used_bytes(), eq(CONNECTION_BYTES));
}
