//! The judge of a run.

use std::collections::BTreeSet;

use super::edit_check::{edit_figures, find_edit_violations};
use super::figures::service_figures;
use super::grant_check::find_two_holders;
use super::grant_span::collect_grant_spans;
use super::order_check::find_repeated_orders;
use super::outcome_check::{count_refused_sends_of_run_orders, find_false_answers};
use super::owner_check::{find_token_regressions, find_two_owners};
use super::run::collect_runs;
use super::{CheckReport, Run};
use crate::history::HistoryRecord;

/// Judges the records of a run, in the order of time.
///
/// Keys of the services `keyed` have one owner at a time; so have those of services whose
/// requests ran with fencing tokens.
#[must_use]
pub fn check_records(records: &[HistoryRecord], keyed: &BTreeSet<String>) -> CheckReport {
    let runs = collect_runs(records);
    let spans = collect_grant_spans(records);
    let keyed = all_keyed(&runs, keyed);
    let mut violations = find_two_owners(&runs, &keyed);
    violations.extend(find_two_holders(&spans));
    violations.extend(find_token_regressions(&runs));
    violations.extend(find_repeated_orders(&runs));
    violations.extend(find_false_answers(records, &runs));
    violations.extend(find_edit_violations(records));
    CheckReport {
        records: records.len(),
        runs: runs.len(),
        grant_spans: spans.len(),
        is_clean: violations.is_empty(),
        violations,
        refused_sends_of_run_orders: count_refused_sends_of_run_orders(records, &runs),
        services: service_figures(records, &runs),
        edits: edit_figures(records),
    }
}

fn all_keyed(runs: &[Run], stated: &BTreeSet<String>) -> BTreeSet<String> {
    let fenced = runs.iter().filter(|run| run.token.is_some());
    let fenced = fenced.map(|run| run.service.clone());
    stated.iter().cloned().chain(fenced).collect()
}
