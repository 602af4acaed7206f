//! Checks that the outcomes reported to callers are true.

use std::collections::{BTreeMap, BTreeSet};

use super::{Run, Violation};
use crate::history::{HistoryEvent, HistoryRecord};

/// Finds answers that contradict what the servers ran.
pub fn find_false_answers(records: &[HistoryRecord], runs: &[Run]) -> Vec<Violation> {
    let executed = ExecutedRequests::new(runs);
    let answers = records
        .iter()
        .filter(|record| record.event == HistoryEvent::Answered);
    answers
        .flat_map(|answer| executed.check_answer(answer))
        .collect()
}

/// Requests and orders that may have had an effect.
struct ExecutedRequests<'a> {
    servers: BTreeMap<&'a str, &'a str>,
    orders: BTreeSet<&'a str>,
}

impl<'a> ExecutedRequests<'a> {
    fn new(runs: &'a [Run]) -> Self {
        let effective = || runs.iter().filter(|run| run.may_have_effect());
        let servers =
            effective().filter_map(|run| Some((run.request_id.as_deref()?, run.server.as_str())));
        Self {
            servers: servers.collect(),
            orders: effective()
                .filter_map(|run| run.order_key.as_deref())
                .collect(),
        }
    }

    fn check_answer(&self, answer: &HistoryRecord) -> Vec<Violation> {
        let request_id = answer.request_id.clone().unwrap_or_default();
        let service = answer.service.clone().unwrap_or_default();
        let mut violations = Vec::new();
        if answer.body_ok == Some(false) {
            violations.push(Violation::BrokenAnswer {
                service: service.clone(),
                request_id: request_id.clone(),
            });
        }
        let outcome = answer.outcome.as_deref();
        match self.servers.get(request_id.as_str()) {
            Some(server) if outcome == Some("not-run") => {
                violations.push(Violation::RanThoughNotRun {
                    service,
                    request_id,
                    server: (*server).to_owned(),
                });
            }
            None if outcome == Some("ran") && !self.has_order(answer) => {
                violations.push(Violation::NeverRan {
                    service,
                    request_id,
                });
            }
            _ => {}
        }
        violations
    }

    fn has_order(&self, answer: &HistoryRecord) -> bool {
        let order_key = answer.order_key.as_deref();
        order_key.is_some_and(|order_key| self.orders.contains(order_key))
    }
}

/// Counts the sends that were answered `not-run` although another send of the same order had
/// already begun to run.
///
/// Such an answer is true for its own send, but says nothing about the order.
pub fn count_refused_sends_of_run_orders(records: &[HistoryRecord], runs: &[Run]) -> u64 {
    let mut first_runs: BTreeMap<&str, u64> = BTreeMap::new();
    for run in runs.iter().filter(|run| run.may_have_effect()) {
        if let Some(order_key) = &run.order_key {
            first_runs.entry(order_key).or_insert(run.start_ns);
        }
    }
    let is_late_refusal = |answer: &&HistoryRecord| {
        let order_key = answer.order_key.as_deref();
        let first_run = order_key.and_then(|order_key| first_runs.get(order_key));
        answer.event == HistoryEvent::Answered
            && answer.outcome.as_deref() == Some("not-run")
            && first_run.is_some_and(|start_ns| *start_ns < answer.mono_ns)
    };
    records.iter().filter(is_late_refusal).count() as u64
}
