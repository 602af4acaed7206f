//! The guarantees about requests.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use platform_stand_ins::{CallerAnswer, CallerRequest, CallerRequestKind, SeenRequest};

use crate::disturbances::Disturbances;

/// Statuses that guarantee that the request has not run and never will.
const NOT_RUN: [u16; 4] = [408, 421, 429, 503];
/// Time after the acknowledgement of its leave in which a draining server may still get requests.
/// It is part of the operators' requirements.
const DRAIN_TIME: Duration = Duration::from_secs(2);
/// Number of backend servers that one attempt may be sent to, as set in the routes of the run.
const MAX_ATTEMPTS: usize = 2;

/// A request that a caller sent.
#[derive(Debug)]
struct SentRequest {
    path: String,
    kind: CallerRequestKind,
    services: BTreeSet<&'static str>,
    sent_at: Instant,
    runs: u32,
    servers: BTreeSet<String>,
    was_refused: bool,
}

/// Checks the guarantees about requests by what callers and backend servers observe.
#[derive(Debug, Default)]
pub struct RequestGuarantees {
    sent_requests: BTreeMap<String, SentRequest>,
    leaving_since: BTreeMap<String, Instant>,
    /// Number of runs of requests on more servers than allowed.
    over_attempted: u32,
}

impl RequestGuarantees {
    /// Records that a caller is about to send a request, which may be routed to these services.
    pub fn record_request(&mut self, request: &CallerRequest, services: &[&'static str]) {
        let sent = SentRequest {
            path: request.path.clone(),
            kind: request.kind,
            services: services.iter().copied().collect(),
            sent_at: Instant::now(),
            runs: 0,
            servers: BTreeSet::new(),
            was_refused: false,
        };
        self.sent_requests.insert(request.attempt_id.clone(), sent);
    }

    /// Records that a control VM has acknowledged the leave of a server.
    pub fn record_leave(&mut self, server: &str) {
        let now = Instant::now();
        self.leaving_since.entry(server.to_owned()).or_insert(now);
    }

    /// Checks a request that a server of a service starts to run. Returns the violations.
    pub fn record_run_start(
        &mut self,
        server: &str,
        service: &str,
        seen: &SeenRequest,
        disturbances: &Disturbances,
    ) -> Vec<String> {
        let id = &seen.attempt_id;
        let Some(sent) = self.sent_requests.get_mut(id) else {
            return vec![format!("{server} runs {id}, which no caller sent")];
        };
        let mut violations = Vec::new();
        let method = sent.kind.method();
        let body_bytes = sent.kind.body(id).len();
        if seen.path != sent.path || seen.method != method || seen.body_bytes != body_bytes {
            violations.push(format!("{server} runs {id}, but not as sent: {seen:?}"));
        }
        if !sent.services.contains(service) {
            violations.push(format!("{server} of {service} runs {id}, {}", sent.path));
        }
        sent.runs += 1;
        if sent.kind.is_order() && sent.runs > 1 {
            violations.push(format!("order {id} runs {} times", sent.runs));
        }
        if sent.kind.is_order() && sent.was_refused {
            violations.push(format!("order {id} runs after it was refused"));
        }
        sent.servers.insert(server.to_owned());
        if sent.servers.len() > MAX_ATTEMPTS {
            self.over_attempted += 1;
            violations.push(format!("{id} runs on {:?}", sent.servers));
        }
        if let Some(left_at) = self.leaving_since.get(server) {
            let now = Instant::now();
            let is_late = sent.sent_at > *left_at + DRAIN_TIME;
            if is_late && disturbances.none_between(*left_at, now) {
                let late = now.saturating_duration_since(*left_at);
                violations.push(format!(
                    "{server} gets {id} {late:?} after its leave was acknowledged"
                ));
            }
        }
        violations
    }

    /// Checks the answer that a caller got. Returns the violations.
    pub fn record_answer(
        &mut self,
        request: &CallerRequest,
        entry: SocketAddr,
        is_planned_stop: bool,
        answer: &CallerAnswer,
        disturbances: &Disturbances,
    ) -> Vec<String> {
        let id = &request.attempt_id;
        let Some(sent) = self.sent_requests.get_mut(id) else {
            return Vec::new();
        };
        let mut violations = Vec::new();
        match answer {
            CallerAnswer::Complete {
                status,
                is_genuine,
                has_retry_after,
                body,
            } => {
                if (200..300).contains(status) && !is_genuine {
                    let length = body.len();
                    violations.push(format!(
                        "{id} gets a {status} answer that is not its own ({length} bytes)"
                    ));
                }
                if NOT_RUN.contains(status) {
                    sent.was_refused = true;
                    if sent.kind.is_order() && sent.runs > 0 {
                        violations.push(format!("order {id} is refused with {status} and has run"));
                    }
                    if !has_retry_after {
                        violations.push(format!("{id} is refused without a retry-after time"));
                    }
                }
                if matches!(status, 401 | 403) {
                    violations.push(format!("{id} is denied with {status}"));
                }
            }
            CallerAnswer::Broken
                if sent.runs > 0
                    && is_planned_stop
                    && disturbances.none_between(sent.sent_at, Instant::now()) =>
            {
                violations.push(format!("{id} is cut by the planned stop of {entry}"));
            }
            _ => {}
        }
        violations
    }
}
