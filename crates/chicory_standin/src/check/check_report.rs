//! The report of a check.

use std::collections::BTreeMap;

use serde::Serialize;

use super::{EditFigures, ServiceFigures, Violation};

/// The report of a check.
#[derive(Clone, Debug, Serialize)]
pub struct CheckReport {
    /// Records checked.
    pub records: usize,
    /// Runs of requests on backend servers.
    pub runs: usize,
    /// Time spans in which a server held a contiguous run of slots.
    pub grant_spans: usize,
    /// Whether no violation was found.
    pub is_clean: bool,
    /// Violations that were found.
    pub violations: Vec<Violation>,
    /// Sends that were answered `not-run` although another send of the same order had already begun
    /// to run.
    pub refused_sends_of_run_orders: u64,
    /// Figures of each service.
    pub services: BTreeMap<String, ServiceFigures>,
    /// Figures of the edits.
    pub edits: EditFigures,
}
