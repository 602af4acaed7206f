//! Measurements of a load run.

use std::collections::BTreeMap;
use std::time::Duration;

use hdrhistogram::Histogram;
use serde::Serialize;

use super::CallResult;

/// Largest latency that the histogram distinguishes, in microseconds.
const MAX_LATENCY_US: u64 = 60_000_000;
/// Significant decimal digits of the histogram.
const SIGNIFICANT_FIGURES: u8 = 3;

/// Counts and latencies of a load run.
#[derive(Debug)]
pub struct LoadReport {
    good: Histogram<u64>,
    calls: u64,
    broken_answers: u64,
    results: BTreeMap<String, u64>,
    servers: BTreeMap<String, u64>,
}

/// The summary of a load run, as it is printed.
#[derive(Debug, Serialize)]
pub struct LoadSummary {
    /// Calls made.
    pub calls: u64,
    /// Calls that got the complete answer to their request.
    pub good: u64,
    /// Answers with status 200 that were incomplete or belonged to another request.
    pub broken_answers: u64,
    /// Good answers per second.
    pub good_per_s: f64,
    /// Latency of good answers in microseconds, by quantile.
    pub latency_us: BTreeMap<String, u64>,
    /// Calls by outcome, status and reason.
    pub results: BTreeMap<String, u64>,
    /// Good answers by backend server.
    pub servers: BTreeMap<String, u64>,
}

impl Default for LoadReport {
    fn default() -> Self {
        let histogram = Histogram::new_with_max(MAX_LATENCY_US, SIGNIFICANT_FIGURES);
        Self {
            good: histogram.expect("the bounds are valid"),
            calls: 0,
            broken_answers: 0,
            results: BTreeMap::new(),
            servers: BTreeMap::new(),
        }
    }
}

impl LoadReport {
    /// Adds the result of one call.
    pub fn add(&mut self, result: &CallResult, latency: Duration) {
        self.calls += 1;
        *self.results.entry(label(result)).or_default() += 1;
        if result.reports_success() && !result.body_ok {
            self.broken_answers += 1;
        }
        if !result.is_good() {
            return;
        }
        let latency_us = u64::try_from(latency.as_micros()).unwrap_or(u64::MAX);
        self.good.saturating_record(latency_us);
        let server = result.server.clone().unwrap_or_default();
        *self.servers.entry(server).or_default() += 1;
    }

    /// Returns the summary of a run that took `elapsed`.
    #[must_use]
    pub fn summary(&self, elapsed: Duration) -> LoadSummary {
        LoadSummary {
            calls: self.calls,
            good: self.good.len(),
            broken_answers: self.broken_answers,
            good_per_s: per_second(self.good.len(), elapsed),
            latency_us: self.quantiles(),
            results: self.results.clone(),
            servers: self.servers.clone(),
        }
    }

    fn quantiles(&self) -> BTreeMap<String, u64> {
        let quantiles = [("p50", 0.5), ("p90", 0.9), ("p99", 0.99), ("p999", 0.999)];
        let values = quantiles.map(|(name, quantile)| {
            let value = self.good.value_at_quantile(quantile);
            (name.to_owned(), value)
        });
        let max = ("max".to_owned(), self.good.max());
        values.into_iter().chain([max]).collect()
    }
}

fn per_second(count: u64, elapsed: Duration) -> f64 {
    let count = u32::try_from(count).unwrap_or(u32::MAX);
    f64::from(count) / elapsed.as_secs_f64().max(f64::MIN_POSITIVE)
}

fn label(result: &CallResult) -> String {
    let status = result
        .status
        .map_or("no-answer".to_owned(), |status| status.to_string());
    let reason = result.reason.as_deref().unwrap_or("-");
    format!("{} {status} {reason}", result.outcome.name())
}
