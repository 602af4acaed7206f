//! Sole ownership of keys in all short interleavings of calls that are lost or late, processes that
//! end and start again, late announcements and changes of the leader.
//!
//! The bounds keep each test to some ten thousand states. Out of their reach are servers that are
//! removed since they are silent, and parts of ranges.

mod model;

use googletest::prelude::*;
use model::{Bounds, Successor, explore};

/// Bounds of one range, one move and one step of time.
const SHORT: Bounds = Bounds {
    step_count: 8,
    range_count: 1,
    restart_address_count: 1,
    restart_count: 0,
    successors: &[],
    first_start_ms: 1,
    leader_change_count: 0,
    transfer_count: 1,
    has_slow_commits: false,
    time_step_count: 1,
};

/// Explores the model; also with servers that state no start time, if none starts again under its
/// id.
fn expect_sole_ownership(bounds: &Bounds) {
    expect_no_violation(bounds);
    if !bounds.successors.contains(&Successor::SameServer) {
        expect_no_violation(&Bounds {
            first_start_ms: 0,
            ..bounds.clone()
        });
    }
}

fn expect_no_violation(bounds: &Bounds) {
    for (violation, steps) in explore(bounds) {
        add_failure!("{violation:?} after\n{}", steps.join("\n"));
    }
}

#[gtest]
fn model_without_restarts_has_one_holder_of_a_key() {
    expect_sole_ownership(&Bounds {
        step_count: 9,
        transfer_count: 2,
        ..SHORT
    });
}

#[gtest]
fn model_with_another_server_at_an_address_has_one_holder_of_a_key() {
    expect_sole_ownership(&Bounds {
        restart_count: 1,
        successors: &[Successor::OtherServer],
        ..SHORT
    });
}

#[gtest]
fn model_with_another_server_that_states_the_same_start_has_one_holder_of_a_key() {
    expect_sole_ownership(&Bounds {
        step_count: 7,
        restart_count: 1,
        successors: &[Successor::OtherServerSameStart],
        time_step_count: 2,
        ..SHORT
    });
}

#[gtest]
fn model_with_a_later_start_of_a_server_has_one_holder_of_a_key() {
    expect_sole_ownership(&Bounds {
        restart_count: 1,
        successors: &[Successor::SameServer],
        ..SHORT
    });
}

#[gtest]
fn model_with_two_restarts_has_one_holder_of_a_key() {
    expect_sole_ownership(&Bounds {
        step_count: 7,
        restart_address_count: 2,
        restart_count: 2,
        successors: &[Successor::OtherServer, Successor::SameServer],
        ..SHORT
    });
}

#[gtest]
fn model_with_a_change_of_the_leader_has_one_holder_of_a_key() {
    expect_sole_ownership(&Bounds {
        step_count: 7,
        leader_change_count: 1,
        time_step_count: 2,
        ..SHORT
    });
}

#[gtest]
fn model_with_a_restart_and_a_change_of_the_leader_has_one_holder_of_a_key() {
    expect_sole_ownership(&Bounds {
        step_count: 7,
        restart_count: 1,
        successors: &[Successor::OtherServer, Successor::SameServer],
        leader_change_count: 1,
        ..SHORT
    });
}

#[gtest]
fn model_with_moves_that_take_time_to_commit_has_one_holder_of_a_key() {
    expect_sole_ownership(&Bounds {
        restart_count: 1,
        successors: &[Successor::SameServer],
        has_slow_commits: true,
        ..SHORT
    });
}

#[gtest]
fn model_with_two_ranges_has_one_holder_of_a_key() {
    expect_sole_ownership(&Bounds {
        step_count: 6,
        range_count: 2,
        restart_count: 1,
        successors: &[Successor::OtherServer],
        ..SHORT
    });
}
