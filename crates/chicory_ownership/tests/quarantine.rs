//! Tests of the quarantine of requests that crash servers, and of views that fall behind.

mod common;

use chicory_ownership::*;
use common::fixtures::*;
use googletest::prelude::*;

fn zone() -> ZoneState {
    let mut state = ZoneState::new("a".to_owned(), 1);
    for server in ["s0", "s1", "s2"] {
        let record = server_record(server, BOARD, "a", 1);
        apply(&mut state, &ZoneCommand::RegisterServer { record });
    }
    state
}

fn apply(state: &mut ZoneState, command: &ZoneCommand) -> ZoneOutcome {
    state.apply(state.applied() + 1, command)
}

fn crash(state: &mut ZoneState, server: &str, fingerprints: &[u64], was_alone: bool, at_ms: u64) {
    let command = ZoneCommand::CountCrash {
        server: server.to_owned(),
        fingerprints: fingerprints.to_vec(),
        was_alone,
        at_ms,
    };
    apply(state, &command);
}

fn quarantined(state: &ZoneState) -> Vec<u64> {
    state.quarantine().quarantined().collect()
}

#[gtest]
fn a_request_that_crashed_two_servers_is_refused() {
    let mut state = zone();
    let known = state.view_version();
    crash(&mut state, "s0", &[7, 8, 9], false, 0);
    crash(&mut state, "s1", &[7], true, 1);
    expect_that!(quarantined(&state), elements_are![eq(&7)]);
    let update = state.changes_since(known);
    let refusal = ViewChange::Quarantined { fingerprint: 7 };
    expect_that!(update.changes, elements_are![eq(&refusal)]);
}

#[gtest]
fn a_request_that_never_ran_alone_takes_one_more_crash() {
    let mut state = zone();
    crash(&mut state, "s0", &[7, 8], false, 0);
    crash(&mut state, "s1", &[7, 9], false, 0);
    expect_that!(quarantined(&state), is_empty());
    crash(&mut state, "s2", &[7, 8], false, 0);
    expect_that!(quarantined(&state), elements_are![eq(&7)]);
}

#[gtest]
fn reports_of_one_crash_count_once() {
    let mut state = zone();
    crash(&mut state, "s0", &[7], true, 0);
    crash(&mut state, "s0", &[7], true, 1);
    expect_that!(quarantined(&state), is_empty());
    let record = server_record("s0", BOARD, "a", 2);
    apply(&mut state, &ZoneCommand::RegisterServer { record });
    crash(&mut state, "s0", &[7], true, 2);
    expect_that!(quarantined(&state), elements_are![eq(&7)]);
}

#[gtest]
fn a_quarantine_ends_by_acquittal_or_age() {
    let mut state = zone();
    for fingerprint in [7, 8] {
        crash(&mut state, "s0", &[fingerprint], true, 0);
        crash(&mut state, "s1", &[fingerprint], true, 0);
    }
    apply(
        &mut state,
        &ZoneCommand::AcquitFingerprint { fingerprint: 7 },
    );
    expect_that!(quarantined(&state), elements_are![eq(&8)]);
    let known = state.view_version();
    let at_ms = u64::try_from(QUARANTINE_RETENTION.as_millis()).unwrap();
    apply(&mut state, &ZoneCommand::Expire { at_ms: at_ms - 1 });
    expect_that!(quarantined(&state), elements_are![eq(&8)]);
    apply(&mut state, &ZoneCommand::Expire { at_ms });
    expect_that!(quarantined(&state), is_empty());
    let lifted = ViewChange::QuarantineLifted { fingerprint: 8 };
    expect_that!(
        state.changes_since(known).changes,
        elements_are![eq(&lifted)]
    );
}

#[gtest]
fn suspects_are_bounded() {
    let mut state = zone();
    for fingerprint in 0..2 * MAX_SUSPECTS as u64 {
        crash(&mut state, "s0", &[fingerprint], false, fingerprint);
    }
    expect_that!(state.quarantine().suspects().len(), eq(MAX_SUSPECTS));
}

#[gtest]
fn a_view_too_far_behind_gets_the_full_view() {
    let mut state = zone();
    let known = state.view_version();
    for incarnation in 2..VIEW_LOG_CHANGES as u64 + 2 {
        let record = server_record("s0", BOARD, "a", incarnation);
        apply(&mut state, &ZoneCommand::RegisterServer { record });
    }
    expect_that!(
        state.changes_since(known).changes.len(),
        eq(VIEW_LOG_CHANGES)
    );
    let behind = state.changes_since(known - 1);
    expect_that!(behind.changes.first(), some(eq(&ViewChange::Reset)));
    // A view of an earlier group and a view ahead of the group also get the full view.
    let reformed = ZoneState::new("a".to_owned(), 2).changes_since(known);
    expect_that!(reformed.changes.first(), some(eq(&ViewChange::Reset)));
    let ahead = state.changes_since(state.view_version() + 1);
    expect_that!(ahead.changes.first(), some(eq(&ViewChange::Reset)));
}
