//! The judgement of a run.

use std::collections::BTreeMap;

use serde::Serialize;

use super::{EditFigures, ServiceFigures, Violation};

/// The judgement of a run.
#[derive(Clone, Debug, Serialize)]
pub struct CheckReport {
    /// Records judged.
    pub records: usize,
    /// Runs of requests on backend servers.
    pub runs: usize,
    /// Spans in which a server held a run of slots.
    pub grant_spans: usize,
    /// Whether nothing was found that must never be.
    pub is_clean: bool,
    /// What was found.
    pub violations: Vec<Violation>,
    /// Sends that were told `not-run` of orders that another send had begun to run by then.
    pub refused_sends_of_run_orders: u64,
    /// Figures of each service.
    pub services: BTreeMap<String, ServiceFigures>,
    /// Figures of the edits.
    pub edits: EditFigures,
}
