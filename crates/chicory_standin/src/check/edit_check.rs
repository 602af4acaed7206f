//! Checks that accepted edits have one revision each, in order, and are never reverted.

use std::collections::{BTreeMap, BTreeSet};

use super::{EditFigures, Violation};
use crate::history::{HistoryEvent, HistoryRecord};

/// Finds edits whose revisions contradict one another, and zones that went back to an earlier
/// revision.
pub fn find_edit_violations(records: &[HistoryRecord]) -> Vec<Violation> {
    let mut violations = find_double_revisions(records);
    violations.extend(find_double_answers(records));
    violations.extend(find_revision_regressions(records));
    violations.extend(find_zone_regressions(records));
    violations
}

fn accepted_edits(records: &[HistoryRecord]) -> impl Iterator<Item = (&HistoryRecord, &str, u64)> {
    records
        .iter()
        .filter(|record| record.event == HistoryEvent::EditAnswered)
        .filter_map(|record| Some((record, record.edit_id.as_deref()?, record.revision?)))
}

fn find_double_revisions(records: &[HistoryRecord]) -> Vec<Violation> {
    let mut edits: BTreeMap<u64, BTreeSet<&str>> = BTreeMap::new();
    for (_, edit_id, revision) in accepted_edits(records) {
        edits.entry(revision).or_default().insert(edit_id);
    }
    edits
        .into_iter()
        .filter(|(_, edit_ids)| edit_ids.len() > 1)
        .map(|(revision, edit_ids)| Violation::RevisionGivenTwice {
            revision,
            edit_ids: edit_ids.into_iter().map(ToOwned::to_owned).collect(),
        })
        .collect()
}

fn find_double_answers(records: &[HistoryRecord]) -> Vec<Violation> {
    let mut revisions: BTreeMap<&str, BTreeSet<u64>> = BTreeMap::new();
    for (_, edit_id, revision) in accepted_edits(records) {
        revisions.entry(edit_id).or_default().insert(revision);
    }
    revisions
        .into_iter()
        .filter(|(_, revisions)| revisions.len() > 1)
        .map(|(edit_id, revisions)| Violation::EditAnsweredTwoWays {
            edit_id: edit_id.to_owned(),
            revisions: revisions.into_iter().collect(),
        })
        .collect()
}

/// Finds edits whose revision isn't greater than every revision that was answered before the edit
/// was first sent.
fn find_revision_regressions(records: &[HistoryRecord]) -> Vec<Violation> {
    let mut answered = 0;
    let mut answered_at_send: BTreeMap<&str, u64> = BTreeMap::new();
    let mut violations = Vec::new();
    for record in records {
        let Some(edit_id) = record.edit_id.as_deref() else {
            continue;
        };
        if record.event == HistoryEvent::EditSent {
            answered_at_send.entry(edit_id).or_insert(answered);
        }
        let revision = record
            .revision
            .filter(|_| record.event == HistoryEvent::EditAnswered);
        let answered_before = answered_at_send.get(edit_id).copied().unwrap_or_default();
        if let Some(revision) = revision.filter(|revision| *revision <= answered_before) {
            violations.push(Violation::RevisionWentBack {
                edit_id: edit_id.to_owned(),
                revision,
                answered: answered_before,
            });
        }
        answered = answered.max(revision.unwrap_or_default());
    }
    violations
}

fn observed_revisions(
    records: &[HistoryRecord],
) -> impl Iterator<Item = (&HistoryRecord, &str, u64)> {
    records
        .iter()
        .filter(|record| record.event == HistoryEvent::RevisionSeen)
        .filter_map(|record| Some((record, record.zone.as_deref()?, record.revision?)))
}

fn find_zone_regressions(records: &[HistoryRecord]) -> Vec<Violation> {
    let mut greatest: BTreeMap<&str, u64> = BTreeMap::new();
    let mut violations = Vec::new();
    for (_, zone, revision) in observed_revisions(records) {
        let known = greatest.entry(zone).or_default();
        if revision < *known {
            violations.push(Violation::ZoneWentBack {
                zone: zone.to_owned(),
                revision,
                greatest: *known,
            });
        }
        *known = revision.max(*known);
    }
    violations
}

/// Counts accepted edits and measures the time from the answer until each zone had them in force.
pub fn edit_figures(records: &[HistoryRecord]) -> EditFigures {
    let zones: BTreeSet<&str> = observed_revisions(records)
        .map(|(_, zone, _)| zone)
        .collect();
    let mut figures = EditFigures::default();
    let mut counted = BTreeSet::new();
    for (answer, edit_id, revision) in accepted_edits(records) {
        if !counted.insert(edit_id) {
            continue;
        }
        figures.accepted += 1;
        for zone in &zones {
            let in_force =
                observed_revisions(records).find(|(_, observed_zone, observed_revision)| {
                    observed_zone == zone && *observed_revision >= revision
                });
            let waited_ns = in_force
                .map(|(observation, ..)| observation.mono_ns.saturating_sub(answer.mono_ns));
            figures.add_wait(waited_ns);
        }
    }
    figures
}
