//! The check of hand-written histories, among them one for each kind of violation.

use std::collections::BTreeSet;
use std::fs;

use chicory_standin::check::{CheckReport, Violation, check_records, read_histories};
use chicory_standin::history::{HistoryEvent, HistoryRecord};
use googletest::prelude::*;

fn record(mono_ns: u64, who: &str, event: HistoryEvent) -> HistoryRecord {
    HistoryRecord {
        service: Some("archive".to_owned()),
        ..HistoryRecord::new(mono_ns, who, event)
    }
}

fn request_event(mono_ns: u64, who: &str, event: HistoryEvent, request_id: &str) -> HistoryRecord {
    HistoryRecord {
        key: Some("k1".to_owned()),
        request_id: Some(request_id.to_owned()),
        ..record(mono_ns, who, event)
    }
}

fn order_event(mono_ns: u64, who: &str, event: HistoryEvent, request_id: &str) -> HistoryRecord {
    HistoryRecord {
        order_key: Some("o1".to_owned()),
        ..request_event(mono_ns, who, event, request_id)
    }
}

fn answered(mono_ns: u64, request_id: &str, outcome: &str) -> HistoryRecord {
    HistoryRecord {
        outcome: Some(outcome.to_owned()),
        status: Some(if outcome == "ran" { 200 } else { 503 }),
        ..request_event(mono_ns, "caller:1", HistoryEvent::Answered, request_id)
    }
}

fn grant_event(
    mono_ns: u64,
    who: &str,
    event: HistoryEvent,
    first: u16,
    last: u16,
) -> HistoryRecord {
    HistoryRecord {
        first_slot: Some(first),
        last_slot: Some(last),
        ..record(mono_ns, who, event)
    }
}

fn lease_event(mono_ns: u64, who: &str, event: HistoryEvent, lease_end_ns: u64) -> HistoryRecord {
    HistoryRecord {
        lease_end_ns: Some(lease_end_ns),
        ..record(mono_ns, who, event)
    }
}

fn edit_event(
    mono_ns: u64,
    event: HistoryEvent,
    edit_id: &str,
    revision: Option<u64>,
) -> HistoryRecord {
    HistoryRecord {
        edit_id: Some(edit_id.to_owned()),
        revision,
        ..HistoryRecord::new(mono_ns, "operator:ana", event)
    }
}

fn revision_seen(mono_ns: u64, revision: u64) -> HistoryRecord {
    HistoryRecord {
        zone: Some("bodega-sur".to_owned()),
        revision: Some(revision),
        ..HistoryRecord::new(mono_ns, "operator:ana", HistoryEvent::RevisionSeen)
    }
}

fn check(records: &[HistoryRecord]) -> CheckReport {
    check_records(records, &BTreeSet::from(["archive".to_owned()]))
}

use HistoryEvent::{
    EditAnswered, EditSent, Grant, GrantExpired, Renewed, Revoke, RunAbandoned, RunEnd, RunStart,
    Sent, ServerStarted,
};

#[gtest]
fn runs_one_after_the_other_are_clean() {
    let report = check(&[
        request_event(1, "server:a", RunStart, "r1"),
        request_event(2, "server:a", RunEnd, "r1"),
        request_event(2, "server:b", RunStart, "r2"),
        request_event(3, "server:b", RunEnd, "r2"),
    ]);
    expect_that!(report.violations, is_empty());
    expect_that!(report.services["archive"].owner_changes, eq(1));
}

#[gtest]
fn overlapping_runs_of_a_key_on_two_servers_are_found() {
    let report = check(&[
        request_event(1, "server:a", RunStart, "r1"),
        request_event(2, "server:b", RunStart, "r2"),
        request_event(3, "server:a", RunEnd, "r1"),
        request_event(4, "server:b", RunEnd, "r2"),
    ]);
    expect_that!(
        report.violations,
        elements_are![matches_pattern!(Violation::TwoOwnersRan {
            at_ns: eq(&2),
            ..
        })]
    );
}

#[gtest]
fn a_short_run_does_not_hide_a_longer_one() {
    let report = check(&[
        request_event(1, "server:a", RunStart, "r1"),
        request_event(2, "server:a", RunStart, "r2"),
        request_event(3, "server:a", RunEnd, "r2"),
        request_event(4, "server:b", RunStart, "r3"),
        request_event(5, "server:b", RunEnd, "r3"),
        request_event(6, "server:a", RunEnd, "r1"),
    ]);
    expect_that!(report.violations, len(eq(1)));
}

#[gtest]
fn overlapping_runs_of_an_unkeyed_service_are_clean() {
    let records = [
        request_event(1, "server:a", RunStart, "r1"),
        request_event(2, "server:b", RunStart, "r2"),
        request_event(3, "server:a", RunEnd, "r1"),
        request_event(4, "server:b", RunEnd, "r2"),
    ];
    expect_that!(
        check_records(&records, &BTreeSet::new()).violations,
        is_empty()
    );
}

#[gtest]
fn an_abandoned_run_counts_until_its_lease_ended() {
    let abandoned = |lease_end_ns| HistoryRecord {
        lease_end_ns: Some(lease_end_ns),
        ..request_event(9, "server:a", RunAbandoned, "r1")
    };
    let records = |lease_end_ns| {
        [
            request_event(1, "server:a", RunStart, "r1"),
            request_event(5, "server:b", RunStart, "r2"),
            request_event(6, "server:b", RunEnd, "r2"),
            abandoned(lease_end_ns),
        ]
    };
    expect_that!(check(&records(5)).violations, is_empty());
    expect_that!(check(&records(6)).violations, len(eq(1)));
}

#[gtest]
fn a_run_lost_with_its_process_does_not_outlive_it() {
    let report = check(&[
        request_event(1, "server:a", RunStart, "r1"),
        request_event(2, "server:b", RunStart, "r2"),
        request_event(3, "server:b", RunEnd, "r2"),
        record(4, "server:a", ServerStarted),
        request_event(5, "server:a", RunStart, "r3"),
        request_event(6, "server:a", RunEnd, "r3"),
    ]);
    expect_that!(report.violations, is_empty());
}

#[gtest]
fn overlapping_grants_of_a_slot_are_found() {
    let report = check(&[
        lease_event(1, "server:a", Renewed, 10),
        grant_event(1, "server:a", Grant, 0, 99),
        lease_event(2, "server:b", Renewed, 10),
        grant_event(2, "server:b", Grant, 99, 200),
    ]);
    expect_that!(
        report.violations,
        elements_are![matches_pattern!(Violation::TwoOwnersGranted {
            slot: eq(&99),
            ..
        })]
    );
}

#[gtest]
fn a_grant_ends_with_its_revocation_or_its_lease() {
    let report = check(&[
        lease_event(1, "server:a", Renewed, 5),
        grant_event(1, "server:a", Grant, 0, 9),
        grant_event(1, "server:a", Grant, 10, 19),
        grant_event(2, "server:a", Revoke, 0, 9),
        lease_event(2, "server:b", Renewed, 20),
        grant_event(2, "server:b", Grant, 0, 9),
        grant_event(6, "server:b", Grant, 10, 19),
        lease_event(7, "server:a", GrantExpired, 5),
    ]);
    expect_that!(report.violations, is_empty());
}

#[gtest]
fn a_decreasing_token_is_found() {
    let with_token = |record: HistoryRecord, token: &str| HistoryRecord {
        token: Some(token.to_owned()),
        ..record
    };
    let report = check(&[
        with_token(request_event(1, "server:a", RunStart, "r1"), "4.1"),
        with_token(request_event(2, "server:a", RunEnd, "r1"), "4.1"),
        with_token(request_event(3, "server:b", RunStart, "r2"), "3.9"),
        with_token(request_event(4, "server:b", RunEnd, "r2"), "3.9"),
    ]);
    expect_that!(
        report.violations,
        elements_are![matches_pattern!(Violation::TokenWentBack {
            token: eq("3.9"),
            ..
        })]
    );
}

#[gtest]
fn an_order_that_ran_twice_is_found() {
    let report = check(&[
        order_event(1, "server:a", RunStart, "r1"),
        order_event(2, "server:a", RunEnd, "r1"),
        order_event(3, "server:a", RunStart, "r2"),
        order_event(4, "server:a", RunEnd, "r2"),
    ]);
    expect_that!(
        report.violations,
        elements_are![matches_pattern!(Violation::OrderRanTwice {
            order_key: eq("o1"),
            ..
        })]
    );
}

#[gtest]
fn an_order_abandoned_without_effect_may_run_once_more() {
    let report = check(&[
        order_event(1, "server:a", RunStart, "r1"),
        order_event(2, "server:a", RunAbandoned, "r1"),
        order_event(3, "server:b", RunStart, "r2"),
        order_event(4, "server:b", RunEnd, "r2"),
    ]);
    expect_that!(report.violations, is_empty());
}

#[gtest]
fn a_request_that_ran_despite_the_outcome_not_run_is_found() {
    let report = check(&[
        request_event(1, "caller:1", Sent, "r1"),
        answered(2, "r1", "not-run"),
        request_event(3, "server:a", RunStart, "r1"),
        request_event(4, "server:a", RunEnd, "r1"),
    ]);
    expect_that!(
        report.violations,
        elements_are![matches_pattern!(Violation::RanThoughNotRun {
            request_id: eq("r1"),
            ..
        })]
    );
}

#[gtest]
fn an_answer_without_a_run_is_found() {
    let report = check(&[
        request_event(1, "caller:1", Sent, "r1"),
        answered(2, "r1", "ran"),
    ]);
    expect_that!(
        report.violations,
        elements_are![matches_pattern!(Violation::NeverRan {
            request_id: eq("r1"),
            ..
        })]
    );
}

#[gtest]
fn a_resent_order_may_get_the_stored_answer() {
    let stored = HistoryRecord {
        order_key: Some("o1".to_owned()),
        ..answered(4, "r2", "ran")
    };
    let report = check(&[
        order_event(1, "server:a", RunStart, "r1"),
        order_event(2, "server:a", RunEnd, "r1"),
        order_event(3, "caller:1", Sent, "r2"),
        stored,
    ]);
    expect_that!(report.violations, is_empty());
}

#[gtest]
fn a_refused_send_of_a_run_order_is_counted() {
    let refused = HistoryRecord {
        order_key: Some("o1".to_owned()),
        ..answered(4, "r2", "not-run")
    };
    let report = check(&[
        order_event(1, "server:a", RunStart, "r1"),
        order_event(2, "server:a", RunEnd, "r1"),
        order_event(3, "caller:1", Sent, "r2"),
        refused,
    ]);
    expect_that!(report.violations, is_empty());
    expect_that!(report.refused_sends_of_run_orders, eq(1));
}

#[gtest]
fn a_broken_answer_is_found() {
    let broken = HistoryRecord {
        body_ok: Some(false),
        ..answered(4, "r1", "ran")
    };
    let report = check(&[
        request_event(1, "server:a", RunStart, "r1"),
        request_event(2, "server:a", RunEnd, "r1"),
        broken,
    ]);
    expect_that!(
        report.violations,
        elements_are![matches_pattern!(Violation::BrokenAnswer {
            request_id: eq("r1"),
            ..
        })]
    );
}

#[gtest]
fn a_revision_given_to_two_edits_is_found() {
    let report = check(&[
        edit_event(1, EditSent, "e1", None),
        edit_event(1, EditSent, "e2", None),
        edit_event(2, EditAnswered, "e1", Some(7)),
        edit_event(2, EditAnswered, "e2", Some(7)),
    ]);
    expect_that!(
        report.violations,
        elements_are![matches_pattern!(Violation::RevisionGivenTwice {
            revision: eq(&7),
            ..
        })]
    );
}

#[gtest]
fn a_resent_edit_with_another_revision_is_found() {
    let report = check(&[
        edit_event(1, EditSent, "e1", None),
        edit_event(2, EditAnswered, "e1", Some(7)),
        edit_event(3, EditAnswered, "e1", Some(8)),
    ]);
    expect_that!(
        report.violations,
        elements_are![matches_pattern!(Violation::EditAnsweredTwoWays {
            edit_id: eq("e1"),
            ..
        })]
    );
}

#[gtest]
fn a_resent_edit_with_the_same_revision_is_clean() {
    let report = check(&[
        edit_event(1, EditSent, "e1", None),
        edit_event(2, EditSent, "e2", None),
        edit_event(3, EditAnswered, "e2", Some(8)),
        edit_event(4, EditSent, "e1", None),
        edit_event(5, EditAnswered, "e1", Some(7)),
    ]);
    expect_that!(report.violations, is_empty());
}

#[gtest]
fn a_revision_lower_than_one_answered_before_is_found() {
    let report = check(&[
        edit_event(1, EditSent, "e1", None),
        edit_event(2, EditAnswered, "e1", Some(7)),
        edit_event(3, EditSent, "e2", None),
        edit_event(4, EditAnswered, "e2", Some(6)),
    ]);
    expect_that!(
        report.violations,
        elements_are![matches_pattern!(Violation::RevisionWentBack {
            revision: eq(&6),
            ..
        })]
    );
}

#[gtest]
fn a_zone_that_goes_back_to_an_earlier_revision_is_found() {
    let report = check(&[revision_seen(1, 3), revision_seen(2, 2)]);
    expect_that!(
        report.violations,
        elements_are![matches_pattern!(Violation::ZoneWentBack {
            revision: eq(&2),
            ..
        })]
    );
}

#[gtest]
fn the_wait_for_an_edit_to_be_in_force_is_measured() {
    let report = check(&[
        edit_event(1, EditSent, "e1", None),
        edit_event(2_000_000, EditAnswered, "e1", Some(3)),
        revision_seen(3_000_000, 2),
        revision_seen(7_000_000, 3),
    ]);
    expect_that!(report.edits.accepted, eq(1));
    expect_that!(report.edits.longest_until_in_force_ms, eq(5));
}

#[gtest]
fn unavailable_time_runs_from_the_first_failed_send_to_the_next_good_answer() {
    let report = check(&[
        request_event(1_000_000, "caller:1", Sent, "r1"),
        answered(2_000_000, "r1", "unknown"),
        answered(3_000_000, "r2", "not-run"),
        request_event(4_000_000, "server:a", RunStart, "r3"),
        request_event(5_000_000, "server:a", RunEnd, "r3"),
        answered(6_000_000, "r3", "ran"),
    ]);
    let figures = &report.services["archive"];
    expect_that!(figures.unavailable_ms, eq(5));
    expect_that!(figures.longest_unavailable_ms, eq(5));
    expect_that!(figures.unavailable_keys_at_end, eq(0));
}

#[gtest]
fn histories_are_merged_by_time_and_an_incomplete_last_line_is_skipped() -> Result<()> {
    let folder = tempfile::tempdir()?;
    let early = folder.path().join("early.jsonl");
    let late = folder.path().join("late.jsonl");
    let line = |mono_ns| serde_json::to_string(&request_event(mono_ns, "server:a", RunStart, "r1"));
    fs::write(&late, format!("{}\n{{\"mono_ns\":4", line(3)?))?;
    fs::write(&early, format!("{}\n", line(1)?))?;
    let records = read_histories(&[late, early])?;
    let times: Vec<u64> = records.iter().map(|record| record.mono_ns).collect();
    verify_that!(times, elements_are![eq(&1), eq(&3)])
}

#[gtest]
fn a_malformed_line_is_an_error_with_the_line_number() -> Result<()> {
    let folder = tempfile::tempdir()?;
    let path = folder.path().join("history.jsonl");
    fs::write(&path, "{\"mono_ns\":1}\n")?;
    let error = read_histories(&[path]).expect_err("a field is missing");
    verify_that!(error.to_string(), contains_substring("line 1 of"))
}
