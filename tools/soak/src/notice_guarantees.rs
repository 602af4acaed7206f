//! The guarantees about what servers state about themselves in answers.

use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use platform_stand_ins::ServerBehaviour;

use crate::disturbances::Disturbances;

/// Span in which requests to a server with a limit are counted.
const LIMIT_WINDOW: Duration = Duration::from_secs(4);
/// Factor on the requests that a limit allows in a window, and requests in addition to them.
const LIMIT_ALLOWED: (f64, f64) = (1.5, 5.0);
/// Time after a server first named a limit from which it binds.
const SETTLING_TIME: Duration = Duration::from_secs(3);
/// Time after which a notice binds the entry VM that passed it on or got it.
const REACTION_TIME: Duration = Duration::from_millis(500);
/// Requests that may arrive in a rest all the same.
const ALLOWED_IN_REST: usize = 2;
/// Time after which a server that says that it leaves gets no more requests.
const DRAIN_TIME: Duration = Duration::from_secs(2);
/// Time for which requests are remembered.
const RETENTION: Duration = Duration::from_secs(10);

/// A request on its way.
#[derive(Clone, Debug)]
struct SentRequest {
    entry: SocketAddr,
    sent_at: Instant,
    /// Notices in the answers of servers, which the entry VM may pass on.
    notices: Vec<(String, ServerBehaviour)>,
}

#[derive(Debug, Default)]
struct ServerNotices {
    /// When the server first named the present limit or a higher one before it, and its limits.
    limited_since: Option<Instant>,
    limits: Vec<(Instant, f64)>,
    /// When each entry VM first passed on an answer with a limit.
    told_limit_at: BTreeMap<SocketAddr, Instant>,
    told_leaving_at: BTreeMap<SocketAddr, Instant>,
    /// The last rest that each entry VM was asked for, and its end.
    rests: BTreeMap<SocketAddr, (Instant, Instant)>,
    arrivals: VecDeque<(Instant, SocketAddr)>,
    hindered_until: Option<Instant>,
}

/// Checks the guarantees about limits, rests and leaving servers.
#[derive(Debug, Default)]
pub struct NoticeGuarantees {
    requests: BTreeMap<String, SentRequest>,
    servers: BTreeMap<String, ServerNotices>,
}

impl NoticeGuarantees {
    /// Records that a caller is about to send a request to an entry VM.
    pub fn record_request(&mut self, attempt_id: &str, entry: SocketAddr) {
        let sent_at = Instant::now();
        self.requests
            .retain(|_, request| sent_at < request.sent_at + RETENTION);
        let request = SentRequest {
            entry,
            sent_at,
            notices: Vec::new(),
        };
        self.requests.insert(attempt_id.to_owned(), request);
    }

    /// Records that connections to a server are hindered for a time, so that requests to it and
    /// its answers may arrive late.
    pub fn record_hindrance(&mut self, server: &str, length: Duration) {
        let until = Instant::now() + length;
        let server = self.servers.entry(server.to_owned()).or_default();
        server.hindered_until = server.hindered_until.max(Some(until));
    }

    /// Records that a server answers a request.
    pub fn record_server_answer(
        &mut self,
        server: &str,
        attempt_id: &str,
        behaviour: ServerBehaviour,
    ) {
        let now = Instant::now();
        let Some(request) = self.requests.get_mut(attempt_id) else {
            return;
        };
        let notices = self.servers.entry(server.to_owned()).or_default();
        match behaviour {
            ServerBehaviour::Limited(rate_per_s) => {
                notices.limited_since.get_or_insert(now);
                notices.limits.push((now, rate_per_s));
            }
            ServerBehaviour::Resting(rest) => {
                notices.rests.insert(request.entry, (now, now + rest));
            }
            _ => {}
        }
        if !matches!(behaviour, ServerBehaviour::Limited(_)) {
            notices.limited_since = None;
            notices.limits.clear();
            notices.told_limit_at.clear();
        }
        request.notices.push((server.to_owned(), behaviour));
    }

    /// Records that a caller got an answer: its entry VM has passed on what it knows of the servers.
    pub fn record_answer(&mut self, attempt_id: &str) {
        let now = Instant::now();
        let Some(request) = self.requests.remove(attempt_id) else {
            return;
        };
        for (server, behaviour) in request.notices {
            let notices = self.servers.entry(server).or_default();
            let told_at = match behaviour {
                ServerBehaviour::Limited(_) if notices.limited_since.is_some() => {
                    &mut notices.told_limit_at
                }
                ServerBehaviour::Leaving => &mut notices.told_leaving_at,
                _ => continue,
            };
            told_at.entry(request.entry).or_insert(now);
        }
    }

    /// Checks a request that reaches a server. Returns the violations.
    pub fn record_arrival(
        &mut self,
        server: &str,
        attempt_id: &str,
        disturbances: &Disturbances,
    ) -> Vec<String> {
        let now = Instant::now();
        let Some(request) = self.requests.get(attempt_id) else {
            return Vec::new();
        };
        let notices = self.servers.entry(server.to_owned()).or_default();
        notices.arrivals.push_back((now, request.entry));
        let oldest = now.checked_sub(LIMIT_WINDOW * 2).unwrap_or(now);
        while notices.arrivals.front().is_some_and(|(at, _)| *at < oldest) {
            notices.arrivals.pop_front();
        }
        let hindered_until = notices.hindered_until;
        if hindered_until.is_some_and(|until| now < until + SETTLING_TIME) {
            return Vec::new();
        }
        let is_undisturbed =
            |entry: SocketAddr, from: Instant| disturbances.none_of_entry_between(entry, from, now);
        let found = [
            notices.excess(now, &is_undisturbed),
            notices.broken_rest(now, request.entry, &is_undisturbed),
            notices.late_arrival(request, &is_undisturbed),
        ];
        let found = found.into_iter().flatten();
        found
            .map(|violation| format!("{server} {violation} ({attempt_id})"))
            .collect()
    }
}

impl ServerNotices {
    fn excess(
        &self,
        now: Instant,
        is_undisturbed: &impl Fn(SocketAddr, Instant) -> bool,
    ) -> Option<String> {
        if now < self.limited_since? + SETTLING_TIME {
            return None;
        }
        let begin = now.checked_sub(LIMIT_WINDOW)?;
        let limits = self.limits.iter().map(|(_, rate_per_s)| *rate_per_s);
        let greatest = limits.reduce(f64::max)?;
        let counted = self.arrivals.iter().filter(|(at, entry)| {
            let told_at = self.told_limit_at.get(entry);
            let is_bound = told_at.is_some_and(|told_at| *at >= *told_at + REACTION_TIME);
            *at > begin && is_bound && is_undisturbed(*entry, begin)
        });
        let requests = u32::try_from(counted.count()).ok()?;
        let (factor, extra) = LIMIT_ALLOWED;
        let allowed = factor * greatest * LIMIT_WINDOW.as_secs_f64() + extra;
        (f64::from(requests) > allowed)
            .then(|| format!("has a limit of {greatest:.1} and got {requests} requests in 4 s"))
    }

    fn broken_rest(
        &self,
        now: Instant,
        entry: SocketAddr,
        is_undisturbed: &impl Fn(SocketAddr, Instant) -> bool,
    ) -> Option<String> {
        let (asked_at, until) = self.rests.get(&entry)?;
        let binds_from = *asked_at + REACTION_TIME;
        let arrivals = self.arrivals.iter();
        let requests = arrivals
            .filter(|(at, from)| *from == entry && *at >= binds_from && at < until)
            .count();
        let is_broken =
            now < *until && requests > ALLOWED_IN_REST && is_undisturbed(entry, *asked_at);
        is_broken.then(|| format!("asked {entry} for rest and got {requests} requests"))
    }

    fn late_arrival(
        &self,
        request: &SentRequest,
        is_undisturbed: &impl Fn(SocketAddr, Instant) -> bool,
    ) -> Option<String> {
        let told_at = self.told_leaving_at.get(&request.entry)?;
        let is_late = request.sent_at > *told_at + DRAIN_TIME;
        (is_late && is_undisturbed(request.entry, *told_at)).then(|| {
            format!(
                "said that it leaves and gets a request of {}",
                request.entry
            )
        })
    }
}
