//! Figures about availability, changes of owner and load balance, taken from a history.

use std::collections::BTreeMap;

use serde::Serialize;

use super::Run;
use crate::history::{HistoryEvent, HistoryRecord};

/// Nanoseconds in a millisecond.
const NS_PER_MS: u64 = 1_000_000;

/// Figures of one service.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct ServiceFigures {
    /// Runs on backend servers.
    pub runs: u64,
    /// Runs by server.
    pub runs_by_server: BTreeMap<String, u64>,
    /// Most runs of any server divided by the mean over the servers with runs; 0 without runs.
    pub imbalance: f64,
    /// Runs of a key on another server than the previous run of that key.
    pub owner_changes: u64,
    /// Answers by outcome.
    pub outcomes: BTreeMap<String, u64>,
    /// Answers that give a reason, by reason.
    pub reasons: BTreeMap<String, u64>,
    /// Sum over all keys of the time from the first failed send to the next good answer.
    pub unavailable_ms: u64,
    /// Longest time from a key's first failed send to its next good answer.
    pub longest_unavailable_ms: u64,
    /// Keys whose last send failed.
    pub unavailable_keys_at_end: u64,
}

/// Figures of the edits of the table.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct EditFigures {
    /// Edits that were accepted.
    pub accepted: u64,
    /// Longest time from the answer to an edit until a zone was observed to have the edit in force.
    pub longest_until_in_force_ms: u64,
    /// Pairs of edit and zone where the zone was never observed to have the edit in force.
    pub never_seen_in_force: u64,
}

impl EditFigures {
    /// Adds one pair of edit and zone; `waited_ns` is `None` if the zone never had the edit in
    /// force.
    pub fn add_wait(&mut self, waited_ns: Option<u64>) {
        match waited_ns {
            Some(waited_ns) => {
                let longest = self.longest_until_in_force_ms;
                self.longest_until_in_force_ms = longest.max(waited_ns / NS_PER_MS);
            }
            None => self.never_seen_in_force += 1,
        }
    }
}

/// Computes the figures of each service.
#[must_use]
pub fn service_figures(
    records: &[HistoryRecord],
    runs: &[Run],
) -> BTreeMap<String, ServiceFigures> {
    let mut figures: BTreeMap<String, ServiceFigures> = BTreeMap::new();
    add_runs(&mut figures, runs);
    add_answers(&mut figures, records);
    for service in figures.values_mut() {
        service.imbalance = imbalance(&service.runs_by_server);
    }
    figures
}

fn add_runs(figures: &mut BTreeMap<String, ServiceFigures>, runs: &[Run]) {
    let mut last_servers: BTreeMap<(&str, &str), &str> = BTreeMap::new();
    for run in runs {
        let service = figures.entry(run.service.clone()).or_default();
        service.runs += 1;
        let by_server = service.runs_by_server.entry(run.server.clone());
        *by_server.or_default() += 1;
        let Some(key) = &run.key else { continue };
        let previous_server = last_servers.insert((&run.service, key), &run.server);
        if previous_server.is_some_and(|previous_server| previous_server != run.server) {
            service.owner_changes += 1;
        }
    }
}

fn imbalance(runs_by_server: &BTreeMap<String, u64>) -> f64 {
    let as_float = |count: u64| f64::from(u32::try_from(count).unwrap_or(u32::MAX));
    let most = runs_by_server.values().copied().max().unwrap_or_default();
    let total = runs_by_server.values().sum::<u64>();
    if total == 0 {
        return 0.0;
    }
    as_float(most) * as_float(runs_by_server.len() as u64) / as_float(total)
}

fn add_answers(figures: &mut BTreeMap<String, ServiceFigures>, records: &[HistoryRecord]) {
    let mut sent_at: BTreeMap<&str, u64> = BTreeMap::new();
    let mut failing_since: BTreeMap<(&str, &str), u64> = BTreeMap::new();
    for record in records {
        let Some((service, key, request_id)) = request_identity(record) else {
            continue;
        };
        match record.event {
            HistoryEvent::Sent => {
                sent_at.insert(request_id, record.mono_ns);
            }
            HistoryEvent::Answered => {
                let sent_ns = sent_at.get(request_id).copied().unwrap_or(record.mono_ns);
                let figures_of_service = figures.entry(service.to_owned()).or_default();
                let outcome = record.outcome.clone().unwrap_or_default();
                *figures_of_service.outcomes.entry(outcome).or_default() += 1;
                if let Some(reason) = &record.reason {
                    *figures_of_service
                        .reasons
                        .entry(reason.clone())
                        .or_default() += 1;
                }
                if is_good(record) {
                    let since = failing_since.remove(&(service, key));
                    figures_of_service.add_span(since, record.mono_ns);
                } else {
                    failing_since.entry((service, key)).or_insert(sent_ns);
                }
            }
            _ => {}
        }
    }
    for (service, _) in failing_since.keys() {
        let figures_of_service = figures.entry((*service).to_owned()).or_default();
        figures_of_service.unavailable_keys_at_end += 1;
    }
}

impl ServiceFigures {
    fn add_span(&mut self, since_ns: Option<u64>, until_ns: u64) {
        let Some(since_ns) = since_ns else { return };
        let span_ms = until_ns.saturating_sub(since_ns) / NS_PER_MS;
        self.unavailable_ms += span_ms;
        self.longest_unavailable_ms = self.longest_unavailable_ms.max(span_ms);
    }
}

fn request_identity(record: &HistoryRecord) -> Option<(&str, &str, &str)> {
    Some((
        record.service.as_deref()?,
        record.key.as_deref()?,
        record.request_id.as_deref()?,
    ))
}

fn is_good(record: &HistoryRecord) -> bool {
    record.outcome.as_deref() == Some("ran")
        && record.status == Some(200)
        && record.body_ok != Some(false)
}
