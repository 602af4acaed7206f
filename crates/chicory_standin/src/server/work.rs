//! How a backend server answers one request.

use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use chicory_types::{FencingToken, Slot};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use hyper::header::HeaderMap;
use hyper::{Request, Response, StatusCode};
use serde_json::json;

use super::answer_body::AnswerBody;
use super::run_guard::RunGuard;
use super::{Admission, AnswerMode, ServerState};
use crate::history::{HistoryEvent, HistoryRecord};
use crate::http;

/// Exit status of a process that was crashed by a request.
const EXIT_CRASHED: i32 = 70;
/// Path of the health endpoint.
const HEALTH_PATH: &str = "/.chicory/health";

/// Why a request isn't run.
#[derive(Clone, Copy, Debug)]
enum Refusal {
    Token,
    Shed,
    Draining,
    Deadline,
}

impl Refusal {
    fn name(self) -> &'static str {
        match self {
            Self::Token => "token",
            Self::Shed => "shed",
            Self::Draining => "draining",
            Self::Deadline => "deadline",
        }
    }

    fn status(self) -> StatusCode {
        match self {
            Self::Token => StatusCode::CONFLICT,
            Self::Shed | Self::Draining => StatusCode::SERVICE_UNAVAILABLE,
            Self::Deadline => StatusCode::GATEWAY_TIMEOUT,
        }
    }
}

/// The parts of the head of a request that a backend server uses.
#[derive(Clone, Debug)]
struct Call {
    path: String,
    request_id: Option<String>,
    exchange_id: Option<String>,
    order_key: Option<String>,
    slot: Option<Slot>,
    token: Option<FencingToken>,
    deadline: Option<Duration>,
}

impl Call {
    fn new(path: &str, headers: &HeaderMap) -> Self {
        Self {
            path: path.to_owned(),
            request_id: text(headers, http::CALL_ID),
            exchange_id: text(headers, http::REQUEST_ID),
            order_key: text(headers, http::IDEMPOTENCY_KEY),
            slot: text(headers, http::SLOT).and_then(|slot| slot.parse().ok()),
            token: text(headers, http::TOKEN).and_then(|token| FencingToken::parse(&token)),
            deadline: text(headers, http::DEADLINE_MS)
                .and_then(|ms| ms.parse().ok())
                .map(Duration::from_millis),
        }
    }

    fn segment(&self, index: usize) -> Option<String> {
        let mut segments = self.path.trim_start_matches('/').split('/');
        segments.nth(index).map(ToOwned::to_owned)
    }

    fn record(&self, server: &ServerState, event: HistoryEvent) -> HistoryRecord {
        HistoryRecord {
            key: self.segment(1),
            request_id: self.request_id.clone(),
            exchange_id: self.exchange_id.clone(),
            order_key: self.order_key.clone(),
            token: self.token.map(|token| token.to_string()),
            ..server.record(event)
        }
    }
}

fn text(headers: &HeaderMap, name: &str) -> Option<String> {
    headers.get(name)?.to_str().ok().map(ToOwned::to_owned)
}

/// Answers one request.
pub async fn answer(
    server: Rc<ServerState>,
    request: Request<Incoming>,
) -> Result<Response<AnswerBody>, hyper::Error> {
    let (head, body) = request.into_parts();
    if head.uri.path() == HEALTH_PATH {
        return Ok(health(&server));
    }
    let call = Call::new(head.uri.path(), &head.headers);
    let arrived_at = Instant::now();
    body.collect().await?;
    server.freeze.wait_until_open().await;
    if server.crashes_on(&call.path) {
        std::process::exit(EXIT_CRASHED);
    }
    if let Some(refusal) = refusal(&server, &call, arrived_at) {
        return Ok(refuse(&server, &call, refusal));
    }
    Ok(run(&server, &call, arrived_at).await)
}

fn refusal(server: &ServerState, call: &Call, arrived_at: Instant) -> Option<Refusal> {
    if deadline_has_passed(call, arrived_at) {
        return Some(Refusal::Deadline);
    }
    if server.is_draining() {
        return Some(Refusal::Draining);
    }
    if server.is_shedding() || server.in_flight.get() >= server.config.slots {
        return Some(Refusal::Shed);
    }
    if is_granted(server, call) {
        None
    } else {
        Some(Refusal::Token)
    }
}

fn deadline_has_passed(call: &Call, arrived_at: Instant) -> bool {
    call.deadline
        .is_some_and(|deadline| arrived_at.elapsed() >= deadline)
}

fn is_granted(server: &ServerState, call: &Call) -> bool {
    if !server.config.checks_grants {
        return true;
    }
    server.expire_grants();
    let (Some(slot), Some(token)) = (call.slot, call.token) else {
        return false;
    };
    let grants = server.grants.borrow();
    grants.admit(Instant::now(), slot, token) == Admission::Granted
}

async fn run(server: &Rc<ServerState>, call: &Call, arrived_at: Instant) -> Response<AnswerBody> {
    let start = call.record(server, HistoryEvent::RunStart);
    let guard = RunGuard::start(server, start);
    let work_time = server
        .config
        .service_time
        .draw(&mut server.rng.borrow_mut());
    let run_time = call.deadline.map_or(work_time, |deadline| {
        work_time.min(deadline.saturating_sub(arrived_at.elapsed()))
    });
    tokio::time::sleep(run_time).await;
    server.freeze.wait_until_open().await;
    if !is_granted(server, call) {
        guard.abandon();
        return refuse(server, call, Refusal::Token);
    }
    if run_time < work_time {
        guard.end(StatusCode::GATEWAY_TIMEOUT.as_u16());
        return deadline_answer(call);
    }
    guard.end(StatusCode::OK.as_u16());
    success_answer(server, call)
}

fn refuse(server: &ServerState, call: &Call, refusal: Refusal) -> Response<AnswerBody> {
    if matches!(refusal, Refusal::Token) {
        let record = call.record(server, HistoryEvent::RefusedToken);
        server.recorder.write(&record);
    }
    let mut response = response(call, refusal.status(), AnswerBody::complete(Bytes::new()));
    let reason = refusal
        .name()
        .parse()
        .expect("refusal names are valid header values");
    response.headers_mut().insert(http::REFUSED, reason);
    response
}

/// Creates the answer to a request that was stopped by its deadline while it ran.
fn deadline_answer(call: &Call) -> Response<AnswerBody> {
    let body = AnswerBody::complete(Bytes::from_static(b"deadline passed during the run\n"));
    response(call, StatusCode::GATEWAY_TIMEOUT, body)
}

fn success_answer(server: &ServerState, call: &Call) -> Response<AnswerBody> {
    let own_answer = (
        call.exchange_id.clone().unwrap_or_default(),
        answer_bytes(server, call),
    );
    let last = server.last_answer.replace(Some(own_answer.clone()));
    match (server.answer_mode(), last) {
        (AnswerMode::Cut, _) => response(call, StatusCode::OK, AnswerBody::cut(&own_answer.1)),
        (AnswerMode::Crossed, Some((exchange_id, body))) => {
            let crossed = Call {
                exchange_id: Some(exchange_id),
                ..call.clone()
            };
            response(&crossed, StatusCode::OK, AnswerBody::complete(body))
        }
        _ => response(call, StatusCode::OK, AnswerBody::complete(own_answer.1)),
    }
}

/// Creates the body of an answer: one JSON line that identifies the server and the request, then
/// filler up to the configured length.
fn answer_bytes(server: &ServerState, call: &Call) -> Bytes {
    let line = json!({
        "server": server.name,
        "request_id": call.request_id,
        "order_key": call.order_key,
        "size_bytes": server.config.answer_bytes,
    });
    let mut text = line.to_string();
    text.push('\n');
    while text.len() < server.config.answer_bytes {
        text.push('.');
    }
    Bytes::from(text)
}

fn response(call: &Call, status: StatusCode, body: AnswerBody) -> Response<AnswerBody> {
    let mut response = Response::new(body);
    *response.status_mut() = status;
    let echo = call.exchange_id.as_deref().map(str::parse);
    if let Some(Ok(echo)) = echo {
        response.headers_mut().insert(http::REQUEST_ID, echo);
    }
    response
}

fn health(server: &ServerState) -> Response<AnswerBody> {
    let in_flight = server.in_flight.get();
    let load = f64::from(in_flight) / f64::from(server.config.slots.max(1));
    let body = match server.health_override() {
        Some(true) => json!({"healthy": true, "load": 0.0, "in_flight": 0}),
        Some(false) => json!({"healthy": false, "load": 1.0, "in_flight": in_flight}),
        None => json!({"healthy": !server.is_draining(), "load": load, "in_flight": in_flight}),
    };
    Response::new(AnswerBody::complete(Bytes::from(body.to_string())))
}
