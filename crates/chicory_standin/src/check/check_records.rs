//! The check of a run.

use std::collections::BTreeSet;

use super::edit_check::{edit_figures, find_edit_violations};
use super::figures::service_figures;
use super::grant_check::find_overlapping_grants;
use super::grant_span::collect_grant_spans;
use super::order_check::find_repeated_orders;
use super::outcome_check::{count_refused_sends_of_run_orders, find_false_answers};
use super::owner_check::{find_overlapping_runs, find_token_regressions};
use super::run::collect_runs;
use super::{CheckReport, Run};
use crate::history::HistoryRecord;

/// Checks the records of a run, which must be sorted by time.
///
/// Keys of the services in `keyed` must have one owner at a time. The same applies to the keys of
/// services whose requests ran with fencing tokens.
#[must_use]
pub fn check_records(records: &[HistoryRecord], keyed: &BTreeSet<String>) -> CheckReport {
    let runs = collect_runs(records);
    let spans = collect_grant_spans(records);
    let keyed = all_keyed_services(&runs, keyed);
    let mut violations = find_overlapping_runs(&runs, &keyed);
    violations.extend(find_overlapping_grants(&spans));
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

fn all_keyed_services(runs: &[Run], given: &BTreeSet<String>) -> BTreeSet<String> {
    let fenced = runs.iter().filter(|run| run.token.is_some());
    let fenced = fenced.map(|run| run.service.clone());
    given.iter().cloned().chain(fenced).collect()
}
