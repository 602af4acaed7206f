//! Edits of the table, sent to a fake of the control processes.

mod support;

use std::path::Path;
use std::time::Duration;

use chicory_ctl::client::ClientError;
use chicory_ctl::command::{EditOptions, Editor, drain, import_table, remove_row, set_row};
use chicory_ctl::{CtlError, EditHistory, ExitStatus};
use chicory_table::{EditOutcome, TableFault};
use chicory_wire::proto::operator::operator_answer::Answer;
use chicory_wire::proto::operator::operator_request::Request;
use chicory_wire::proto::operator::{TableEditRequest, TableGetAnswer};
use chicory_wire::proto::table::{
    OverrideRow, ServerOverride, ServicePolicy, ServiceRow, Table, TableContent, table_change,
};
use googletest::prelude::*;
use support::{FakeControl, block_on};

fn policy() -> ServicePolicy {
    ServicePolicy {
        weight: 100,
        max_in_flight: 3,
        max_connections: 100,
        queue_limit: 64,
        rate_limit_per_s: 0,
        keyed: true,
        idempotent: true,
        deadline_ms: 2000,
        custody_lease_ms: None,
        zones: vec!["bodega-sur".to_owned()],
    }
}

fn table(overrides: Vec<OverrideRow>) -> Answer {
    let row = ServiceRow {
        service: "archive".to_owned(),
        policy: Some(policy()),
    };
    Answer::TableGet(TableGetAnswer {
        table: Some(Table {
            revision: 7,
            content: Some(TableContent {
                services: vec![row],
                overrides,
            }),
        }),
    })
}

fn answer(outcome: EditOutcome) -> Answer {
    Answer::TableEdit(outcome.into())
}

fn accepted() -> Answer {
    answer(EditOutcome::Accepted { revision: 8 })
}

fn no_answer(may_have_arrived: bool) -> ClientError {
    ClientError::NoAnswer {
        attempts: Vec::new(),
        timeout: Duration::from_secs(1),
        may_have_arrived,
    }
}

fn no_history() -> EditHistory {
    EditHistory::open(&"ana".to_owned(), None).expect("no file is opened")
}

fn editor<'a>(fake: &'a FakeControl, history: &'a EditHistory) -> Editor<'a> {
    Editor::new(fake, history)
}

/// Returns the edit that was sent last.
fn sent_edit(fake: &FakeControl) -> TableEditRequest {
    match fake.requests().pop() {
        Some(Request::TableEdit(request)) => request,
        other => panic!("expected an edit, got {other:?}"),
    }
}

fn sent_change(fake: &FakeControl) -> table_change::Change {
    let change = sent_edit(fake).changes.pop().expect("a change");
    change.change.expect("a change")
}

fn set_service_cells(fake: &FakeControl, changes: &[&str]) -> std::result::Result<u64, CtlError> {
    let changes: Vec<String> = changes.iter().map(ToString::to_string).collect();
    let history = no_history();
    let editor = editor(fake, &history);
    let options = EditOptions::default();
    block_on(set_row(&editor, "archive", "*", &changes, options))
}

#[gtest]
fn a_cell_is_set_and_the_others_stay() -> Result<()> {
    let fake = FakeControl::new([table(Vec::new()), accepted()]);
    expect_that!(set_service_cells(&fake, &["weight=70"])?, eq(8));
    let expected = ServicePolicy {
        weight: 70,
        ..policy()
    };
    expect_that!(sent_edit(&fake).base_revision, eq(7));
    verify_that!(
        sent_change(&fake),
        eq(&table_change::Change::PutService(ServiceRow {
            service: "archive".to_owned(),
            policy: Some(expected),
        }))
    )
}

#[gtest]
fn an_unknown_column_is_refused_before_anything_is_sent() {
    let fake = FakeControl::new([table(Vec::new())]);
    let error = set_service_cells(&fake, &["wait=70"]).expect_err("no such column");
    expect_that!(error.to_string(), contains_substring("column of wait=70"));
    expect_that!(fake.requests(), len(eq(1)));
}

#[gtest]
fn a_faulty_value_is_refused_before_anything_is_sent() {
    let fake = FakeControl::new([table(Vec::new())]);
    let error = set_service_cells(&fake, &["weight=heavy"]).expect_err("no number");
    expect_that!(error.exit_status(), eq(ExitStatus::InvalidInput));
    expect_that!(error.to_string(), contains_substring("weight"));
    expect_that!(fake.requests(), len(eq(1)));
}

#[gtest]
fn a_change_without_a_value_is_refused() {
    let fake = FakeControl::new([table(Vec::new())]);
    let error = set_service_cells(&fake, &["weight"]).expect_err("no value");
    expect_that!(error.exit_status(), eq(ExitStatus::InvalidInput));
}

#[gtest]
fn a_conflict_names_both_revisions() {
    let conflict = answer(EditOutcome::Conflict {
        current_revision: 9,
    });
    let fake = FakeControl::new([table(Vec::new()), conflict]);
    let error = set_service_cells(&fake, &["weight=70"]).expect_err("a conflict");
    expect_that!(error.exit_status(), eq(ExitStatus::Refused));
    expect_that!(error.to_string(), contains_substring("at revision 9"));
    expect_that!(error.to_string(), contains_substring("based on 7"));
}

#[gtest]
fn all_faults_reported_by_the_cluster_are_listed() {
    let fault = |service: &str| TableFault::NoZones {
        service: service.to_owned(),
    };
    let invalid = answer(EditOutcome::Invalid(vec![
        fault("archive"),
        fault("orders"),
    ]));
    let fake = FakeControl::new([table(Vec::new()), invalid]);
    let error = set_service_cells(&fake, &["weight=70"]).expect_err("an invalid edit");
    expect_that!(
        error.to_string(),
        contains_substring("service archive: no zones")
    );
    expect_that!(
        error.to_string(),
        contains_substring("service orders: no zones")
    );
}

#[gtest]
fn an_edit_that_may_have_arrived_names_the_id_to_repeat() {
    let fake = FakeControl::new([table(Vec::new())]).then_failing(no_answer(true));
    let error = set_service_cells(&fake, &["weight=70"]).expect_err("no answer");
    let edit_id = sent_edit(&fake).edit_id;
    expect_that!(error.exit_status(), eq(ExitStatus::Unknown));
    expect_that!(
        error.to_string(),
        contains_substring(format!("--edit-id {edit_id}"))
    );
    expect_that!(error.to_string(), contains_substring("--base-revision 7"));
}

#[gtest]
fn an_edit_that_cannot_have_arrived_is_reported_as_unreachable() {
    let fake = FakeControl::new([table(Vec::new())]).then_failing(no_answer(false));
    let error = set_service_cells(&fake, &["weight=70"]).expect_err("no answer");
    expect_that!(error.exit_status(), eq(ExitStatus::Unreachable));
}

#[gtest]
fn a_repeated_edit_keeps_its_id_and_base_revision() -> Result<()> {
    let fake = FakeControl::new([accepted()]);
    let history = no_history();
    let options = EditOptions {
        edit_id: Some("e1".to_owned()),
        base_revision: Some(5),
    };
    let editor = editor(&fake, &history);
    let removed = remove_row(&editor, "archive", "*", options);
    expect_that!(block_on(removed)?, eq(8));
    let edit = sent_edit(&fake);
    expect_that!(edit.edit_id, eq("e1"));
    verify_that!(edit.base_revision, eq(5))
}

#[gtest]
fn draining_keeps_the_other_values_of_the_server() -> Result<()> {
    let known = OverrideRow {
        service: "archive".to_owned(),
        server: "archive-07".to_owned(),
        values: Some(ServerOverride {
            queue_limit: Some(5),
            ..ServerOverride::default()
        }),
    };
    let fake = FakeControl::new([table(vec![known]), accepted()]);
    let history = no_history();
    let editor = editor(&fake, &history);
    let options = EditOptions::default();
    block_on(drain(&editor, "archive", "archive-07", false, options))?;
    let table_change::Change::PutOverride(row) = sent_change(&fake) else {
        return fail!("expected an override");
    };
    let values = row.values.unwrap_or_default();
    expect_that!(values.weight, some(eq(0)));
    verify_that!(values.queue_limit, some(eq(5)))
}

#[gtest]
fn undoing_a_drain_removes_a_row_without_values() -> Result<()> {
    let drained = OverrideRow {
        service: "archive".to_owned(),
        server: "archive-07".to_owned(),
        values: Some(ServerOverride {
            weight: Some(0),
            ..ServerOverride::default()
        }),
    };
    let fake = FakeControl::new([table(vec![drained]), accepted()]);
    let history = no_history();
    let editor = editor(&fake, &history);
    let options = EditOptions::default();
    block_on(drain(&editor, "archive", "archive-07", true, options))?;
    verify_that!(
        sent_change(&fake),
        matches_pattern!(table_change::Change::RemoveOverride(_))
    )
}

#[gtest]
fn a_table_file_with_a_bad_cell_is_refused_with_line_and_column() -> Result<()> {
    let folder = tempfile::tempdir()?;
    let path = folder.path().join("table.csv");
    let csv = export()?.replace(",2000,", ",soon,");
    std::fs::write(&path, csv)?;
    let fake = FakeControl::default();
    let history = no_history();
    let editor = editor(&fake, &history);
    let imported = import_table(&editor, &path, EditOptions::default());
    let error = block_on(imported).expect_err("a bad cell");
    expect_that!(error.exit_status(), eq(ExitStatus::InvalidInput));
    expect_that!(error.to_string(), contains_substring("line 2"));
    expect_that!(error.to_string(), contains_substring("deadline_ms"));
    verify_that!(fake.requests(), is_empty())
}

#[gtest]
fn an_exported_table_is_imported_unchanged() -> Result<()> {
    let folder = tempfile::tempdir()?;
    let path = folder.path().join("table.csv");
    std::fs::write(&path, export()?)?;
    let fake = FakeControl::new([table(Vec::new()), accepted()]);
    let history = no_history();
    let editor = editor(&fake, &history);
    let imported = import_table(&editor, &path, EditOptions::default());
    block_on(imported)?;
    let table_change::Change::ReplaceAll(content) = sent_change(&fake) else {
        return fail!("expected the whole table");
    };
    verify_that!(content.services[0].policy, some(eq(&policy())))
}

fn export() -> Result<String> {
    let fake = FakeControl::new([table(Vec::new())]);
    let report = block_on(chicory_ctl::command::export_table(&fake, None))?;
    Ok(report.text)
}

#[gtest]
fn edits_and_answers_are_recorded_in_the_history() -> Result<()> {
    let folder = tempfile::tempdir()?;
    let path = folder.path().join("operator.jsonl");
    let history = EditHistory::open(&"ana".to_owned(), Some(&path))?;
    let fake = FakeControl::new([accepted()]);
    let options = EditOptions {
        edit_id: Some("e1".to_owned()),
        base_revision: Some(7),
    };
    block_on(remove_row(
        &editor(&fake, &history),
        "archive",
        "*",
        options,
    ))?;
    expect_that!(
        events(&path)?,
        elements_are![eq("edit_sent"), eq("edit_answered")]
    );
    Ok(())
}

fn events(path: &Path) -> Result<Vec<String>> {
    let text = std::fs::read_to_string(path)?;
    let lines = text.lines().map(serde_json::from_str::<serde_json::Value>);
    let lines: std::result::Result<Vec<serde_json::Value>, _> = lines.collect();
    let name = |line: &serde_json::Value| line["event"].as_str().unwrap_or_default().to_owned();
    Ok(lines?.iter().map(name).collect())
}
