//! Promises about requests.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use platform_stand_ins::{CallerAnswer, CallerRequest, CallerRequestKind, SeenRequest};

use crate::calm::Calm;

/// Statuses that promise that the request has not run and never will.
const NOT_RUN: [u16; 4] = [408, 421, 429, 503];
/// Time after an acknowledgement in which a draining server may still get requests; stated by the
/// operators.
const DRAIN_TIME: Duration = Duration::from_secs(2);
/// Backend servers that one attempt may be sent to, by the routes of the run.
const MAX_ATTEMPTS: usize = 2;

/// A request that a caller sent.
#[derive(Debug)]
struct Asked {
    path: String,
    form: CallerRequestKind,
    services: BTreeSet<&'static str>,
    since: Instant,
    runs: u32,
    servers: BTreeSet<String>,
    was_promised_not_run: bool,
}

/// Promises about requests, by what callers and backend servers see.
#[derive(Debug, Default)]
pub struct RequestPromises {
    asked: BTreeMap<String, Asked>,
    leaving_since: BTreeMap<String, Instant>,
    /// Requests that ran on more servers than allowed.
    over_sent: u32,
}

impl RequestPromises {
    /// A caller is about to send a request, which may go to these services.
    pub fn asks(&mut self, request: &CallerRequest, services: &[&'static str]) {
        let asked = Asked {
            path: request.path.clone(),
            form: request.kind,
            services: services.iter().copied().collect(),
            since: Instant::now(),
            runs: 0,
            servers: BTreeSet::new(),
            was_promised_not_run: false,
        };
        self.asked.insert(request.attempt_id.clone(), asked);
    }

    /// A control VM has acknowledged that a server leaves.
    pub fn leaves(&mut self, server: &str) {
        let now = Instant::now();
        self.leaving_since.entry(server.to_owned()).or_insert(now);
    }

    /// A server of a service begins to work on a request; what that breaks.
    pub fn began(
        &mut self,
        server: &str,
        service: &str,
        seen: &SeenRequest,
        calm: &Calm,
    ) -> Vec<String> {
        let id = &seen.attempt_id;
        let Some(asked) = self.asked.get_mut(id) else {
            return vec![format!("{server} runs {id}, which nobody sent")];
        };
        let mut broken = Vec::new();
        let method = asked.form.method();
        let body_bytes = asked.form.body(id).len();
        if seen.path != asked.path || seen.method != method || seen.body_bytes != body_bytes {
            broken.push(format!("{server} runs {id} changed: {seen:?}"));
        }
        if !asked.services.contains(service) {
            broken.push(format!("{server} of {service} runs {id}, {}", asked.path));
        }
        asked.runs += 1;
        if asked.form.is_order() && asked.runs > 1 {
            broken.push(format!("order {id} runs {} times", asked.runs));
        }
        if asked.form.is_order() && asked.was_promised_not_run {
            broken.push(format!("order {id} runs after it was refused"));
        }
        asked.servers.insert(server.to_owned());
        if asked.servers.len() > MAX_ATTEMPTS {
            self.over_sent += 1;
            broken.push(format!("{id} runs on {:?}", asked.servers));
        }
        if let Some(since) = self.leaving_since.get(server) {
            let now = Instant::now();
            let is_late = asked.since > *since + DRAIN_TIME;
            if is_late && calm.was_calm(*since, now) {
                let late = now.saturating_duration_since(*since);
                broken.push(format!("{server} gets {id} {late:?} after its leave"));
            }
        }
        broken
    }

    /// A caller got an answer; what that breaks.
    pub fn answered(
        &mut self,
        request: &CallerRequest,
        entry: SocketAddr,
        is_planned_stop: bool,
        answer: &CallerAnswer,
        calm: &Calm,
    ) -> Vec<String> {
        let id = &request.attempt_id;
        let Some(asked) = self.asked.get_mut(id) else {
            return Vec::new();
        };
        let mut broken = Vec::new();
        match answer {
            CallerAnswer::Complete {
                status,
                is_genuine,
                has_retry_after,
                body,
            } => {
                if (200..300).contains(status) && !is_genuine {
                    let length = body.len();
                    broken.push(format!(
                        "{id} gets {status} that is not its own ({length} bytes)"
                    ));
                }
                if NOT_RUN.contains(status) {
                    asked.was_promised_not_run = true;
                    if asked.form.is_order() && asked.runs > 0 {
                        broken.push(format!("order {id} is refused with {status} and has run"));
                    }
                    if !has_retry_after {
                        broken.push(format!("{id} is refused without a time to come back"));
                    }
                }
                if matches!(status, 401 | 403) {
                    broken.push(format!("{id} is denied with {status}"));
                }
            }
            CallerAnswer::Broken
                if asked.runs > 0
                    && is_planned_stop
                    && calm.was_calm(asked.since, Instant::now()) =>
            {
                broken.push(format!("{id} is cut by the planned stop of {entry}"));
            }
            _ => {}
        }
        broken
    }
}
