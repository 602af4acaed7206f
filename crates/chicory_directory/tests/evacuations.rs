//! The set of evacuated availability zones in the replicated state.

use chicory_directory::{
    CommandOutcome, DirectoryPosition, DirectoryUpdate, RouteHistory, SiteCommand, SiteState,
};
use googletest::prelude::*;

fn begin(zone: &str) -> SiteCommand {
    SiteCommand::BeginEvacuation(zone.into())
}

fn finish(zone: &str) -> SiteCommand {
    SiteCommand::FinishEvacuation(zone.into())
}

fn update_since(state: &SiteState, version: u64) -> Option<DirectoryUpdate> {
    let known = DirectoryPosition {
        version,
        ..state.position()
    };
    state.update_since(known, &RouteHistory::default())
}

/// Guards against repeated orders that count as changes: each would be sent to all entry VMs.
#[gtest]
fn only_the_first_of_equal_orders_changes_the_set() {
    let mut state = SiteState::default();
    let orders = [
        (finish("north"), CommandOutcome::Unchanged),
        (
            begin("north"),
            CommandOutcome::EvacuationBegun("north".into()),
        ),
        (begin("north"), CommandOutcome::Unchanged),
        (
            begin("south"),
            CommandOutcome::EvacuationBegun("south".into()),
        ),
        (
            finish("north"),
            CommandOutcome::EvacuationFinished("north".into()),
        ),
        (finish("north"), CommandOutcome::Unchanged),
    ];
    for (index, (order, outcome)) in (1..).zip(orders) {
        expect_that!(state.apply(index, order), eq(&outcome));
    }
    expect_that!(state.evacuated_zones(), elements_are![eq("south")]);
    expect_that!(state.evacuations_changed_at(), eq(5));
}

/// Guards against followers that don't hear of a change, and against updates that carry the set
/// although it has not changed.
#[gtest]
fn set_is_in_updates_over_its_changes_only() {
    let mut state = SiteState::default();
    for (index, order) in (1..).zip([finish("west"), begin("north"), begin("north")]) {
        state.apply(index, order);
    }
    let zones = |version| update_since(&state, version).and_then(|u| u.evacuated_zones);
    expect_that!(zones(1), some(elements_are![eq("north")]));
    expect_that!(zones(2), none());
    // A full update has it in any case.
    expect_that!(zones(0), some(elements_are![eq("north")]));
    let mut empty = SiteState::default();
    empty.apply(1, finish("north"));
    let full = update_since(&empty, 0).and_then(|update| update.evacuated_zones);
    expect_that!(full.map(|zones| zones.len()), some(eq(0)));
}
