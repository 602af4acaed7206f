//! Tests of a zone's group that was re-formed.

mod common;

use chicory_ownership::*;
use common::fixtures::*;
use googletest::prelude::*;

/// Returns the epoch of the first dispatcher assignment of a group.
fn first_epoch(group_epoch: u64) -> u64 {
    let mut state = ZoneState::new("a".to_owned(), group_epoch);
    let commands = [
        ZoneCommand::RegisterServer {
            record: server_record("s0", BOARD, "a", 1),
        },
        ZoneCommand::RegisterEntry {
            record: entry_record("e0", 1),
        },
        ZoneCommand::AssignDispatcher {
            server: "s0".to_owned(),
            vm: "e0".to_owned(),
            incarnation: 1,
        },
    ];
    for command in commands {
        let outcome = state.apply(state.applied() + 1, &command);
        assert_eq!(outcome, ZoneOutcome::Applied);
    }
    state.servers()["s0"].epoch
}

#[gtest]
fn role_epochs_exceed_those_of_former_groups() {
    expect_that!(first_epoch(2), gt(first_epoch(1)));
    expect_that!(first_epoch(3), gt(first_epoch(2)));
}
