//! Requests other than edits of the table, sent to a fake of the control processes.

mod support;

use std::time::Duration;

use chicory_ctl::client::ClientError;
use chicory_ctl::command::{AuditQuery, audit, evict_zone, owner, status, wait_until_in_force};
use chicory_ctl::{CtlError, EditHistory, ExitStatus};
use chicory_table::{AuditAction, AuditRecord};
use chicory_wire::proto::common::FencingToken;
use chicory_wire::proto::operator::operator_answer::Answer;
use chicory_wire::proto::operator::{
    AuditAnswer, EvictZoneAnswer, OperatorError, OwnerAnswer, StatusAnswer, ZoneStatus,
};
use googletest::prelude::*;
use support::{FakeControl, block_on};

fn history() -> EditHistory {
    EditHistory::open(&"ana".to_owned(), None).expect("no file is opened")
}

fn zones(revisions: [u64; 2]) -> Answer {
    let zone = |(name, revision): (&str, u64)| ZoneStatus {
        zone: name.to_owned(),
        revision_in_force: revision,
        is_reachable: true,
        entries: Vec::new(),
        custody_slots: 8192,
    };
    let names = ["bodega-sur", "taller-norte"];
    Answer::Status(StatusAnswer {
        revision: 8,
        zones: names.into_iter().zip(revisions).map(zone).collect(),
    })
}

#[gtest]
fn the_status_names_each_zone_and_its_revision() -> Result<()> {
    let fake = FakeControl::new([zones([8, 7])]);
    let report = block_on(status(&fake, &history()))?;
    expect_that!(report.json["zones"][1]["revision_in_force"], eq(7));
    verify_that!(report.text, contains_regex("taller-norte +7 +yes"))
}

#[gtest]
fn waiting_ends_when_every_zone_has_the_revision() -> Result<()> {
    let fake = FakeControl::new([zones([7, 7]), zones([8, 7]), zones([8, 8])]);
    let mut lines = Vec::new();
    let mut progress = |line: &str| lines.push(line.to_owned());
    let timeout = Duration::from_mins(1);
    block_on(wait_until_in_force(
        &fake,
        &history(),
        8,
        timeout,
        &mut progress,
    ))?;
    expect_that!(lines, len(eq(3)));
    verify_that!(
        lines[1],
        contains_substring("1 of 2 zones, waiting for taller-norte")
    )
}

#[gtest]
fn a_wait_timeout_names_the_zones_without_the_revision() {
    let fake = FakeControl::new([zones([8, 7])]);
    let history = history();
    let mut progress = |_: &str| {};
    let waited = wait_until_in_force(&fake, &history, 8, Duration::ZERO, &mut progress);
    let error = block_on(waited).expect_err("one zone has an older revision");
    expect_that!(error.exit_status(), eq(ExitStatus::NotInForce));
    expect_that!(error.to_string(), ends_with("in: taller-norte"));
}

#[gtest]
fn the_owner_is_shown_with_its_token() -> Result<()> {
    let fake = FakeControl::new([Answer::Owner(OwnerAnswer {
        slot: 12,
        custody_zone: Some("bodega-sur".to_owned()),
        server: Some("archive-07".to_owned()),
        dispatcher: None,
        token: Some(FencingToken {
            custody_generation: 3,
            counter: 41,
        }),
    })]);
    let report = block_on(owner(&fake, "archive", "k1"))?;
    expect_that!(report.json["token"], eq("3.41"));
    verify_that!(report.text, contains_substring("dispatcher -"))
}

#[gtest]
fn an_eviction_must_be_confirmed() {
    let fake = FakeControl::default();
    let evicted = evict_zone(&fake, "bodega-sur", None, false);
    let error = block_on(evicted).expect_err("not confirmed");
    expect_that!(error, matches_pattern!(CtlError::NotConfirmed { .. }));
    expect_that!(fake.requests(), is_empty());
}

#[gtest]
fn an_eviction_reports_how_many_slots_moved() -> Result<()> {
    let answer = Answer::EvictZone(EvictZoneAnswer { moved_slots: 5461 });
    let fake = FakeControl::new([answer]);
    let report = block_on(evict_zone(&fake, "bodega-sur", None, true))?;
    verify_that!(report.json["moved_slots"], eq(5461))
}

#[gtest]
fn a_refusal_is_explained_in_the_error_message() {
    let error = OperatorError::NotFound;
    let fake = FakeControl::new([]).then_failing(ClientError::Refused { error });
    let error = block_on(owner(&fake, "archive", "k1")).expect_err("refused");
    expect_that!(error.exit_status(), eq(ExitStatus::Refused));
    expect_that!(error.to_string(), contains_substring("no such service"));
}

#[gtest]
fn an_answer_of_the_wrong_kind_is_an_error() {
    let fake = FakeControl::new([zones([8, 8])]);
    let error = block_on(owner(&fake, "archive", "k1")).expect_err("the answer holds no owner");
    expect_that!(error.exit_status(), eq(ExitStatus::Unreachable));
}

#[gtest]
fn audit_records_are_listed() -> Result<()> {
    let record = AuditRecord {
        sequence: 4,
        at_ms: 1_000,
        operator: "ana".to_owned(),
        action: AuditAction::TableEdited {
            services: vec!["archive".to_owned()],
        },
        from_revision: 7,
        to_revision: 8,
    };
    let fake = FakeControl::new([Answer::Audit(AuditAnswer {
        records: vec![record.into()],
    })]);
    let query = AuditQuery {
        operator: None,
        from_sequence: 0,
        limit: 10,
    };
    let report = block_on(audit(&fake, query))?;
    expect_that!(report.json[0]["to_revision"], eq(8));
    verify_that!(report.text, contains_regex("edited archive +7 to 8"))
}
