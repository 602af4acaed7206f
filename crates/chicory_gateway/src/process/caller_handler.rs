//! Serves the requests of callers.

use std::collections::VecDeque;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use bytes::Bytes;
use chicory_net::http::{
    AnswerFuture, BodyReceiver, BodySource, BufferedBody, ConnectionShare, HttpBody, HttpHandler,
    ReceiveError, ReceiveStep,
};
use chicory_policy::RetryAfter;
use chicory_types::MonoTime;
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};
use hyper::http::{HeaderMap, HeaderValue, header, request};
use hyper::{Request, Response};
use tokio::time::Instant;

use super::GatewayMetric;
use super::answer::Answer;
use super::answer_observer::AnswerObserver;
use super::attempt::{self, AttemptResult, CallerRequest, remove_hop_by_hop};
use super::bulk_transfers::{ASSUMED_BYTES, BulkTurn, MIN_BULK_BYTES};
use super::request_guard::RequestGuard;
use super::request_log::RequestSummary;
use super::shared_state::SharedState;
use crate::decide::RETRY_AFTER_STOP;
use crate::{
    Admission, AttemptOutcome, NextStep, Refusal, RefusalReason, RequestMetadata, RequestTicket,
};

/// Time after the caller's own time for which an answer is passed on. A caller that still reads then
/// can use it, but an answer without an end would be passed on forever.
pub(super) const MAX_BODY_OVERTIME: Duration = Duration::from_secs(10);

/// Fraction of a request's time that its body may wait for a turn and take to be received. The rest
/// is for sending it on and for the server.
const RECEIVE_FRACTION: f64 = 0.5;

/// Longest time for which the rest of a refused body is received.
const MAX_DRAIN_TIME: Duration = Duration::from_secs(5);

const CLOSE: HeaderValue = HeaderValue::from_static("close");
const KEEP_ALIVE: header::HeaderName = header::HeaderName::from_static("keep-alive");
/// Idle time for which callers are asked to keep connections. Most callers send another request
/// sooner, and each idle connection costs memory for its buffers.
const KEEP_ALIVE_TIME: HeaderValue = HeaderValue::from_static("timeout=4");

/// Marks an answer that the entry VM itself sent. The connection is then closed: the caller comes
/// back on another one, and this one would only stay idle.
#[derive(Clone, Copy)]
struct RefusedByEntry;

/// Serves the requests of callers.
pub(super) struct CallerHandler {
    shared: Arc<SharedState>,
}

impl CallerHandler {
    pub(super) fn new(shared: Arc<SharedState>) -> Self {
        Self { shared }
    }
}

impl HttpHandler for CallerHandler {
    fn handle(&self, request: Request<Incoming>) -> AnswerFuture {
        let shared = self.shared.clone();
        Box::pin(async move {
            let is_stopping = shared.readiness.is_stopping();
            let mut response = Exchange::start(shared.clone(), request).await;
            let is_refused = response.extensions().get::<RefusedByEntry>().is_some();
            let is_closing = is_stopping || !shared.readiness.is_ready() || is_refused;
            let headers = response.headers_mut();
            if is_closing {
                headers.insert(header::CONNECTION, CLOSE);
            } else {
                headers.insert(KEEP_ALIVE, KEEP_ALIVE_TIME);
            }
            response
        })
    }
}

/// One request, from its head to the head of its answer.
struct Exchange {
    shared: Arc<SharedState>,
    started_at: MonoTime,
    metadata: RequestMetadata,
    /// Whether a server may run the request, as far as ended attempts and the current one tell.
    may_run: AtomicBool,
}

impl Exchange {
    async fn start(shared: Arc<SharedState>, request: Request<Incoming>) -> Response<HttpBody> {
        let (head, mut body) = request.into_parts();
        let has_thin_link = shared.bulk.takes_turns();
        let response = Self::answer(shared, head, &mut body).await;
        if !body.is_end_stream() && !has_thin_link {
            tokio::spawn(drain(body));
        }
        response
    }

    async fn answer(
        shared: Arc<SharedState>,
        head: request::Parts,
        body: &mut Incoming,
    ) -> Response<HttpBody> {
        let started_at = shared.now();
        shared.metrics.increment(GatewayMetric::Requests);
        let metadata = shared.callers.read(&head);
        let exchange = Self {
            shared,
            started_at,
            metadata,
            may_run: AtomicBool::new(false),
        };
        if *exchange.shared.answers_are_due.borrow() {
            return exchange.refuse(None, &exchange.refusal_at_stop());
        }
        let response = tokio::select! {
            biased;
            response = exchange.run(head, body) => response,
            () = exchange.shared.wait_for_due_answers() => {
                exchange.refuse(None, &exchange.refusal_at_stop())
            }
        };
        let now = exchange.shared.now();
        let took = now.saturating_sub(started_at);
        let metrics = &exchange.shared.metrics;
        metrics.record(GatewayMetric::RequestLatency, took);
        response
    }

    async fn run(&self, head: request::Parts, body: &mut Incoming) -> Response<HttpBody> {
        let limits = self.shared.gateway().directory().routes().limits_in_force();
        if header_bytes(&head) > limits.max_header_bytes {
            return self.refuse(None, &Refusal::not_run(RefusalReason::HeaderTooLarge));
        }
        let admission = {
            let host = host_of(&head);
            let mut gateway = self.shared.gateway();
            gateway.admit(self.started_at, host, head.uri.path(), &self.metadata)
        };
        let ticket = match admission {
            Admission::Accepted(ticket) => ticket,
            Admission::Refused(refusal) => return self.refuse(None, &refusal),
        };
        let share = head.extensions.get::<ConnectionShare>().cloned();
        let body = match self
            .read_body(body, share, limits.max_body_bytes, ticket.deadline())
            .await
        {
            Ok(body) => body,
            Err(refusal) => return self.refuse(Some(&ticket), &refusal),
        };
        let request = CallerRequest {
            head,
            body,
            metadata: self.metadata.clone(),
            turn: Mutex::new(None),
        };
        self.serve(ticket, &request).await
    }

    /// Returns the refusal of a request that still waits when the planned stop ends.
    fn refusal_at_stop(&self) -> Refusal {
        if self.may_run.load(Ordering::Relaxed) {
            return Refusal {
                reason: RefusalReason::TimedOut,
                may_have_run: true,
                retry_after: None,
            };
        }
        Refusal::not_run(RefusalReason::Stopping).with_retry_after(RETRY_AFTER_STOP)
    }

    async fn read_body(
        &self,
        body: &mut Incoming,
        share: Option<ConnectionShare>,
        max_bytes: u64,
        deadline: MonoTime,
    ) -> Result<BufferedBody, Refusal> {
        if body.is_end_stream() {
            return Ok(BufferedBody::default());
        }
        let left = deadline.saturating_sub(self.shared.now());
        let receiver = BodyReceiver::new(body, share, max_bytes);
        let receiver = receiver.map_err(|error| self.receive_refusal(&error))?;
        let receiving = self.receive(receiver, left);
        let ended = tokio::time::timeout(left, receiving).await;
        ended.unwrap_or_else(|_| Err(Refusal::not_run(RefusalReason::TooLate)))
    }

    /// Receives a whole body. A large one waits for its turn once its first bytes have come.
    async fn receive(
        &self,
        mut body: BodyReceiver<'_>,
        time_left: Duration,
    ) -> Result<BufferedBody, Refusal> {
        let mut turn = None;
        let mut has_had_turn = false;
        loop {
            if body.known_bytes() >= MIN_BULK_BYTES && !has_had_turn {
                has_had_turn = true;
                let bytes = body.stated_bytes().unwrap_or(ASSUMED_BYTES);
                let wait = time_left.mul_f64(RECEIVE_FRACTION);
                let taken = tokio::select! {
                    taken = self.shared.bulk.receive_turn(bytes, wait) => taken,
                    () = body.evicted() => {
                        return Err(self.receive_refusal(&ReceiveError::OutOfMemory));
                    }
                };
                turn = taken.map_err(|free_in| self.link_refusal(free_in, time_left))?;
            }
            let received = body.receive_part().await;
            match received.map_err(|error| self.receive_refusal(&error))? {
                ReceiveStep::Complete => return Ok(body.finish()),
                ReceiveStep::More => {}
            }
            turn = turn.filter(|turn: &BulkTurn| !turn.is_overdue());
        }
    }

    /// Returns the refusal of a request whose body was not received to its end.
    fn receive_refusal(&self, error: &ReceiveError) -> Refusal {
        match error {
            ReceiveError::TooLong { .. } => Refusal::not_run(RefusalReason::BodyTooLarge),
            ReceiveError::Unreadable { .. } => Refusal::not_run(RefusalReason::BodyUnreadable),
            ReceiveError::OutOfMemory => {
                let metrics = &self.shared.metrics;
                metrics.increment(GatewayMetric::BodiesRefusedByMemory);
                let mut gateway = self.shared.gateway();
                gateway.refusal_at_arrival(&self.metadata, RefusalReason::NoMemory)
            }
        }
    }

    /// Returns the refusal of a request whose body would have to wait too long for the link.
    fn link_refusal(&self, free_in: Duration, time_left: Duration) -> Refusal {
        let metrics = &self.shared.metrics;
        metrics.increment(GatewayMetric::BodiesRefusedByLink);
        let retry_after = RetryAfter::new(free_in).within(time_left);
        Refusal::not_run(RefusalReason::Overloaded).with_retry_after(retry_after)
    }

    /// Waits until the body of a request may be sent to a server.
    async fn wait_for_send_turn(
        &self,
        ticket: &RequestTicket,
        request: &CallerRequest,
    ) -> Result<(), Refusal> {
        // An attempt that ended before anything was sent leaves its turn unused, and a request that
        // held one would wait for itself.
        request.set_turn(None);
        let left = ticket.deadline().saturating_sub(self.shared.now());
        let bytes = request.body.len();
        let taken = self.shared.bulk.send_turn(bytes, left).await;
        match taken {
            Ok(turn) => {
                request.set_turn(turn);
                Ok(())
            }
            Err(free_in) if !ticket.may_have_run() => Err(self.link_refusal(free_in, left)),
            Err(_) => Err(Refusal {
                reason: RefusalReason::TimedOut,
                may_have_run: true,
                retry_after: None,
            }),
        }
    }

    async fn serve(
        &self,
        mut ticket: RequestTicket,
        request: &CallerRequest,
    ) -> Response<HttpBody> {
        ticket.set_fingerprint(fingerprint(request));
        let mut guard = RequestGuard::new(self.shared.clone(), ticket);
        let mut changes = self.shared.changes.subscribe();
        let mut failure: Option<Box<Answer>> = None;
        loop {
            changes.mark_unchanged();
            if let Err(refusal) = self.wait_for_send_turn(&guard.ticket, request).await {
                if let Some(answer) = failure {
                    return self.pass_on(guard, *answer);
                }
                return self.refuse(Some(&guard.ticket), &refusal);
            }
            match guard.next_step() {
                NextStep::Wait(until) => {
                    request.set_turn(None);
                    if guard.ticket.waits_for_permit() {
                        self.shared.limit_reports.notify_one();
                    }
                    let pause = until.saturating_sub(self.shared.now());
                    let awaits_slot = guard.ticket.awaits_slot();
                    // Request the next step again after either a change of the directory or the end
                    // of the wait, or when a slot may have become free.
                    drop(
                        tokio::time::timeout(pause, async {
                            tokio::select! {
                                _ = changes.changed() => {}
                                () = self.shared.freed_slots.notified(), if awaits_slot => {}
                            }
                        })
                        .await,
                    );
                }
                NextStep::Refuse(refusal) => {
                    if let Some(answer) = failure {
                        return self.pass_on(guard, *answer);
                    }
                    return self.refuse(Some(&guard.ticket), &refusal);
                }
                NextStep::Send(target) => {
                    self.may_run.store(true, Ordering::Relaxed);
                    let left = self.caller_time_left();
                    let result =
                        attempt::run(&self.shared, request, &guard.ticket, &target, left).await;
                    match result {
                        AttemptResult::Answered {
                            answer,
                            is_failure: false,
                        } => return self.pass_on(guard, *answer),
                        AttemptResult::Answered { answer, .. } => {
                            let may_retry = guard.end_attempt(AttemptOutcome::Failed);
                            if !may_retry {
                                return self.pass_on(guard, *answer);
                            }
                            failure = Some(answer);
                        }
                        AttemptResult::Superseded(next) => {
                            guard.ticket.set_follow_up(next);
                            guard.end_attempt(AttemptOutcome::Silent);
                        }
                        AttemptResult::Ended(outcome) => {
                            if !guard.end_attempt(outcome) {
                                if let Some(answer) = failure {
                                    return self.pass_on(guard, *answer);
                                }
                                let refusal = {
                                    let now = self.shared.now();
                                    let mut gateway = self.shared.gateway();
                                    gateway.final_refusal(now, &guard.ticket, outcome)
                                };
                                return self.refuse(Some(&guard.ticket), &refusal);
                            }
                        }
                    }
                    let may_have_run = guard.ticket.may_have_run();
                    self.may_run.store(may_have_run, Ordering::Relaxed);
                    self.shared.metrics.increment(GatewayMetric::Retries);
                }
            }
        }
    }

    /// Returns the time that the caller still waits, which is sent to the server.
    fn caller_time_left(&self) -> Duration {
        let elapsed = self.shared.now().saturating_sub(self.started_at);
        let time_left = self.metadata.time_left.unwrap_or(Duration::from_secs(30));
        time_left.saturating_sub(elapsed)
    }

    /// Passes a server's answer on, unchanged except for the headers that apply to
    /// one connection only.
    fn pass_on(&self, guard: RequestGuard, answer: Answer) -> Response<HttpBody> {
        let now = self.shared.now();
        self.shared.metrics.increment(GatewayMetric::Answered);
        let summary = self.summary(Some(&guard.ticket));
        let status = answer.head.status.as_u16();
        let requests = &self.shared.requests;
        requests.answered(now, &summary, status, &self.shared.gateway());
        let mut headers = answer.head.headers;
        remove_hop_by_hop(&mut headers);
        headers.remove(header::CONTENT_LENGTH);
        let (source, expiry) = match answer.rest {
            Some(rest) => {
                let source = BodySource::Resumed {
                    parts: answer.parts,
                    rest,
                };
                let until_expiry = self.caller_time_left() + MAX_BODY_OVERTIME;
                let expiry = answer.link.link.set_expiry(Instant::now() + until_expiry);
                (source, Some(expiry))
            }
            None => (BodySource::Full(concatenated(answer.parts)), None),
        };
        let expected = self.shared.link.expect(source.size_hint().lower());
        let observer = AnswerObserver::new(guard, answer.link, expected);
        let mut body = HttpBody::observed(source, Box::new(observer));
        if let Some(expiry) = expiry {
            body = body.with_abort_signal(expiry);
        }
        response(answer.head.status, headers, body)
    }

    fn refuse(&self, ticket: Option<&RequestTicket>, refusal: &Refusal) -> Response<HttpBody> {
        let metric = if refusal.may_have_run {
            GatewayMetric::FailedMayHaveRun
        } else {
            GatewayMetric::RefusedNotRun
        };
        self.shared.metrics.increment(metric);
        match refusal.reason {
            RefusalReason::ServerLimited => {
                self.shared.metrics.increment(GatewayMetric::DeniedByLimit);
            }
            RefusalReason::ServerResting => {
                self.shared.metrics.increment(GatewayMetric::DeniedByRest);
            }
            _ => {}
        }
        let summary = self.summary(ticket);
        let now = self.shared.now();
        let gateway = self.shared.gateway();
        let requests = &self.shared.requests;
        requests.refused(now, &summary, refusal, &gateway);
        let mut refused = self.shared.callers.refuse(&self.metadata, refusal);
        refused.extensions_mut().insert(RefusedByEntry);
        refused.map(HttpBody::full)
    }

    fn summary<'a>(&'a self, ticket: Option<&'a RequestTicket>) -> RequestSummary<'a> {
        RequestSummary {
            metadata: &self.metadata,
            ticket,
            started_at: self.started_at,
        }
    }
}

/// Receives the rest of a body that is not used. If the connection were closed before the caller has
/// sent it, the caller would not read the refusal.
async fn drain(mut body: Incoming) {
    let draining = async { while let Some(Ok(_)) = body.frame().await {} };
    // A body that takes longer is cut off.
    let _ = tokio::time::timeout(MAX_DRAIN_TIME, draining).await;
}

pub(super) fn response(
    status: hyper::StatusCode,
    headers: HeaderMap,
    body: HttpBody,
) -> Response<HttpBody> {
    let mut response = Response::new(body);
    *response.status_mut() = status;
    *response.headers_mut() = headers;
    response
}

fn concatenated(mut parts: VecDeque<Bytes>) -> Bytes {
    if parts.len() <= 1 {
        return parts.pop_front().unwrap_or_default();
    }
    parts.into_iter().flatten().collect()
}

/// Returns the host that a request names, without a port.
pub(super) fn host_of(head: &request::Parts) -> &str {
    let from_uri = head.uri.host();
    let header = head.headers.get(header::HOST);
    let from_header = header.and_then(|value| value.to_str().ok());
    let host = from_uri.or(from_header).unwrap_or_default();
    host.rsplit_once(':').map_or(host, |(name, port)| {
        let is_port = port.bytes().all(|byte| byte.is_ascii_digit());
        if is_port { name } else { host }
    })
}

fn header_bytes(head: &request::Parts) -> u64 {
    let headers = head.headers.iter();
    let bytes: usize = headers
        .map(|(name, value)| name.as_str().len() + value.len() + 4)
        .sum();
    bytes as u64
}

/// Returns a hash that is equal for requests that are the same to a backend server.
fn fingerprint(request: &CallerRequest) -> u64 {
    let head = &request.head;
    let path = head.uri.path_and_query().map_or("", |path| path.as_str());
    let host = host_of(head);
    let parts = [
        head.method.as_str().as_bytes(),
        host.as_bytes(),
        path.as_bytes(),
    ];
    let body = request.body.segments().iter().map(|segment| &segment[..]);
    chicory_types::fingerprint_of_segments(&parts, request.body.len(), body)
}
