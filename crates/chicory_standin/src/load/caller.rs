//! A caller that sends requests and records their results.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::header::{HeaderMap, RETRY_AFTER};
use hyper::{Request, Response};
use uuid::Uuid;

use super::answer_check::AnswerLine;
use super::connection_pool::ConnectionPool;
use super::{Call, CallOutcome, CallResult, is_own_answer};
use crate::history::{HistoryEvent, HistoryRecord, Recorder};
use crate::http;

/// Time past the deadline that a caller waits for an answer, and the longest time that it waits
/// before a resend.
const GRACE: Duration = Duration::from_secs(1);

/// A caller that sends requests and records their results.
#[derive(Debug)]
pub struct Caller {
    who: String,
    deadline: Duration,
    recorder: Rc<Recorder>,
    pool: ConnectionPool,
}

impl Caller {
    /// Creates a caller whose requests have `deadline`.
    #[must_use]
    pub fn new(name: &str, deadline: Duration, recorder: Rc<Recorder>) -> Self {
        Self {
            who: format!("caller:{name}"),
            deadline,
            recorder,
            pool: ConnectionPool::default(),
        }
    }

    /// Sends the call once to `address` and waits for the result.
    pub async fn send(&self, address: &str, call: &Call) -> CallResult {
        let request_id = Uuid::new_v4().simple().to_string();
        self.write(HistoryEvent::Sent, call, &request_id, None);
        let exchange = self.exchange(address, call, &request_id);
        let result = tokio::time::timeout(self.deadline + GRACE, exchange).await;
        let result = result
            .unwrap_or_else(|_| CallResult::without_answer(CallOutcome::Unknown, "caller-timeout"));
        self.write(HistoryEvent::Answered, call, &request_id, Some(&result));
        result
    }

    /// Sends the call to one address after another until no resend is needed.
    ///
    /// A call that didn't run is sent again, and so is an order whose outcome is unknown, with the
    /// same order key. There are at most `resends` resends.
    pub async fn send_with_resends(
        &self,
        addresses: &[String],
        first_index: usize,
        call: &Call,
        resends: usize,
    ) -> CallResult {
        let mut result = self.send(address_at(addresses, first_index), call).await;
        for attempt in 1..=resends {
            if !should_resend(call, &result) {
                break;
            }
            tokio::time::sleep(result.retry_after.unwrap_or_default().min(GRACE)).await;
            result = self
                .send(address_at(addresses, first_index + attempt), call)
                .await;
        }
        result
    }

    async fn exchange(&self, address: &str, call: &Call, request_id: &str) -> CallResult {
        let Ok(mut sender) = self.pool.take(address).await else {
            return CallResult::without_answer(CallOutcome::NotRun, "caller-can't-connect");
        };
        let request = self.request(address, call, request_id);
        let Ok(response) = sender.send_request(request).await else {
            return CallResult::without_answer(CallOutcome::Unknown, "connection-broke");
        };
        let result = read(response, call, request_id).await;
        if result.reason.as_deref() != Some(BODY_BROKE) {
            self.pool.put_back(address, sender);
        }
        result
    }

    fn request(&self, address: &str, call: &Call, request_id: &str) -> Request<Full<Bytes>> {
        let method = if call.order_key.is_some() {
            "POST"
        } else {
            "GET"
        };
        let mut builder = Request::builder()
            .method(method)
            .uri(call.path())
            .header("host", address)
            .header(http::CALL_ID, request_id)
            .header(http::DEADLINE_MS, self.deadline.as_millis().to_string());
        if let Some(order_key) = &call.order_key {
            builder = builder.header(http::IDEMPOTENCY_KEY, order_key);
        }
        let request = builder.body(Full::default());
        request.expect("services, keys and order keys are valid in paths and headers")
    }

    fn write(
        &self,
        event: HistoryEvent,
        call: &Call,
        request_id: &str,
        result: Option<&CallResult>,
    ) {
        let record = HistoryRecord {
            service: Some(call.service.clone()),
            key: Some(call.key.clone()),
            request_id: Some(request_id.to_owned()),
            order_key: call.order_key.clone(),
            status: result.and_then(|result| result.status),
            outcome: result.map(|result| result.outcome.name().to_owned()),
            reason: result.and_then(|result| result.reason.clone()),
            body_ok: result
                .filter(|result| result.reports_success())
                .map(|result| result.body_ok),
            ..self.recorder.record(&self.who, event)
        };
        self.recorder.write(&record);
    }
}

/// Reason of an answer whose body was cut short.
const BODY_BROKE: &str = "body-broke";

async fn read(response: Response<Incoming>, call: &Call, request_id: &str) -> CallResult {
    let (head, body) = response.into_parts();
    let status = head.status.as_u16();
    let Ok(body) = body.collect().await else {
        return CallResult {
            status: Some(status),
            ..CallResult::without_answer(CallOutcome::Unknown, BODY_BROKE)
        };
    };
    let body = body.to_bytes();
    CallResult {
        status: Some(status),
        outcome: outcome(&head.headers, status),
        reason: text(&head.headers, http::REASON).or(text(&head.headers, http::REFUSED)),
        retry_after: retry_after(&head.headers),
        body_ok: is_own_answer(call, request_id, &body),
        server: AnswerLine::parse(&body).map(|line| line.server),
    }
}

/// Returns the outcome that the answer states. A backend server that is called directly sends no
/// outcome, so its refusal header and its status decide.
fn outcome(headers: &HeaderMap, status: u16) -> CallOutcome {
    let stated = text(headers, http::OUTCOME).and_then(|text| CallOutcome::parse(&text));
    stated.unwrap_or_else(|| {
        if headers.contains_key(http::REFUSED) {
            CallOutcome::NotRun
        } else if status == 200 {
            CallOutcome::Ran
        } else {
            CallOutcome::Unknown
        }
    })
}

fn retry_after(headers: &HeaderMap) -> Option<Duration> {
    let number = |name| text(headers, name).and_then(|text| text.parse().ok());
    let exact = number(http::RETRY_AFTER_MS).map(Duration::from_millis);
    exact.or_else(|| number(RETRY_AFTER.as_str()).map(Duration::from_secs))
}

fn text(headers: &HeaderMap, name: &str) -> Option<String> {
    headers.get(name)?.to_str().ok().map(ToOwned::to_owned)
}

fn address_at(addresses: &[String], index: usize) -> &str {
    &addresses[index % addresses.len()]
}

fn should_resend(call: &Call, result: &CallResult) -> bool {
    match result.outcome {
        CallOutcome::Ran => false,
        CallOutcome::NotRun => true,
        CallOutcome::Unknown => call.order_key.is_some(),
    }
}
