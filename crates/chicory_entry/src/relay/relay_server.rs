//! Serves requests that other entry processes relay.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use chicory_dispatch::{Event, Outcome, RelayLoad, RequestHead, RequestOrigin};
use chicory_net::peer::{BodyPart, FrameError, RelayReader, RelayStream, RelayWriter};
use chicory_types::RequestId;
use chicory_wire::proto::relay::{RelayAnswerHead, RelayRequestHead};
use hyper::Method;
use tokio::sync::{mpsc, oneshot};

use crate::answer::{Answer, REFUSED_STOPPING};
use crate::caller::{CHICORY_OUTCOME, CHICORY_REASON, CHICORY_RETRY_AFTER_MS, response_of};
use crate::exchange::{Exchange, ForwardedHead};
use crate::inbox::Inbox;
use crate::relay::relay_client::send_body;
use crate::relay::relay_headers::outcome_to_wire;
use crate::relay::{headers_from_wire, headers_to_wire, relayed_body};
use crate::request_body::RequestBody;
use crate::request_ids::RequestIds;

/// How long the other process may take to receive the end of an answer once all of it was sent.
const LAST_RECEIPT_TIMEOUT: Duration = Duration::from_secs(2);

/// A server of requests that other entry processes relay.
#[derive(Clone, Debug)]
pub(crate) struct RelayServer {
    pub(crate) inbox: Inbox,
    pub(crate) ids: Arc<RequestIds>,
    pub(crate) max_buffered_bytes: usize,
    /// Upgraded to a strong sender while a request is open. The process exits once no strong sender
    /// is left.
    pub(crate) task_guard: mpsc::WeakSender<()>,
}

impl RelayServer {
    /// Serves one relayed request to its end.
    pub(crate) async fn serve(self, stream: RelayStream) {
        let Some(_task_guard) = self.task_guard.upgrade() else {
            return;
        };
        let RelayStream {
            mut writer,
            mut reader,
        } = stream;
        let Ok(head) = reader.request_head().await else {
            return;
        };
        let Ok(body) = self.read_body(&head, reader).await else {
            return;
        };
        let echoed = head.request;
        let request = self.ids.next();
        let (sender, receiver) = oneshot::channel();
        let Some((event, exchange)) = open_exchange(request, head, body, sender) else {
            return;
        };
        if !self.inbox.send_request(event, exchange) {
            let refused = Answer::Refused(REFUSED_STOPPING);
            let _ = send_answer(&mut writer, echoed, refused).await;
            let _ = tokio::time::timeout(LAST_RECEIPT_TIMEOUT, writer.closed()).await;
            return;
        }
        let answer = tokio::select! {
            answer = receiver => answer,
            () = writer.closed() => {
                self.inbox.send_event(Event::CallerGone { request });
                return;
            }
        };
        let Ok(answer) = answer else {
            return;
        };
        if send_answer(&mut writer, echoed, answer).await.is_ok() {
            // The endpoint may close after this function returns, and data that the other process
            // hasn't received by then is lost.
            let _ = tokio::time::timeout(LAST_RECEIPT_TIMEOUT, writer.closed()).await;
        }
    }

    async fn read_body(
        &self,
        head: &RelayRequestHead,
        mut reader: RelayReader,
    ) -> Result<RequestBody, FrameError> {
        if !head.has_body {
            return Ok(RequestBody::Buffered(Bytes::new()));
        }
        if !head.is_replayable {
            let length = stated_length(head);
            return Ok(RequestBody::Streamed(Some(relayed_body(reader, length))));
        }
        let mut body = Vec::new();
        loop {
            match reader.next_part().await? {
                BodyPart::Chunk(part) => body.extend_from_slice(&part),
                BodyPart::End => return Ok(RequestBody::Buffered(body.into())),
            }
            if body.len() > self.max_buffered_bytes {
                let expected = "a body that fits into memory";
                return Err(FrameError::Unexpected { expected });
            }
        }
    }
}

fn stated_length(head: &RelayRequestHead) -> Option<u64> {
    let length = head
        .headers
        .iter()
        .find(|header| header.name == "content-length")?;
    std::str::from_utf8(&length.value).ok()?.parse().ok()
}

fn open_exchange(
    request: RequestId,
    head: RelayRequestHead,
    body: RequestBody,
    answer: oneshot::Sender<Answer>,
) -> Option<(RequestHead, Exchange)> {
    let method = Method::from_bytes(head.method.as_bytes()).ok()?;
    let event = RequestHead {
        request,
        service: head.service.clone(),
        key: head.key.clone(),
        order_key: head.order_key.clone(),
        is_safe_method: head.is_safe_method,
        fingerprint: head.fingerprint,
        is_replayable: body.is_replayable(),
        deadline: Some(Duration::from_millis(head.deadline_ms)),
        origin: RequestOrigin::Relay {
            hops: u8::try_from(head.hops).unwrap_or(u8::MAX),
            from_zone: head.from_zone,
        },
    };
    let forwarded = ForwardedHead {
        method,
        path_and_query: head.path_and_query,
        headers: headers_from_wire(head.headers),
        service: head.service,
        key: head.key,
        order_key: head.order_key,
        fingerprint: head.fingerprint,
        is_safe_method: head.is_safe_method,
    };
    Some((event, Exchange::new(forwarded, body, answer)))
}

async fn send_answer(
    writer: &mut RelayWriter,
    request: RequestId,
    answer: Answer,
) -> Result<(), FrameError> {
    let metadata = AnswerMetadata::of(&answer);
    let (mut parts, body) = response_of(answer).into_parts();
    // These values are sent in separate fields, from which the process that received the request
    // from the caller sets the headers again.
    for name in [CHICORY_OUTCOME, CHICORY_REASON, CHICORY_RETRY_AFTER_MS] {
        parts.headers.remove(name);
    }
    let head = RelayAnswerHead {
        request,
        status: parts.status.as_u16().into(),
        headers: headers_to_wire(&parts.headers),
        outcome: outcome_to_wire(metadata.outcome).into(),
        reason: metadata.reason,
        retry_after_ms: metadata.retry_after.map(millis),
        outstanding: metadata.load.outstanding,
        expected_wait_us: u64::try_from(metadata.load.expected_wait.as_micros())
            .unwrap_or(u64::MAX),
    };
    writer.send_answer_head(head).await?;
    send_body(writer, body).await?;
    writer.end().await
}

/// The fields of a relayed answer's head that are not part of the HTTP response.
struct AnswerMetadata {
    outcome: Outcome,
    reason: String,
    retry_after: Option<Duration>,
    load: RelayLoad,
}

impl AnswerMetadata {
    fn of(answer: &Answer) -> Self {
        match answer {
            Answer::Refused(refusal) => Self {
                outcome: refusal.outcome,
                reason: crate::caller::reason_name(refusal.reason).to_owned(),
                retry_after: refusal.retry_after,
                load: RelayLoad::default(),
            },
            Answer::Stored(_) => Self {
                outcome: Outcome::Ran,
                reason: String::new(),
                retry_after: None,
                load: RelayLoad::default(),
            },
            Answer::Forwarded(forwarded) => Self {
                outcome: forwarded.outcome,
                reason: forwarded.reason.clone(),
                retry_after: forwarded.retry_after,
                load: forwarded.load,
            },
        }
    }
}

fn millis(span: Duration) -> u64 {
    u64::try_from(span.as_millis()).unwrap_or(u64::MAX)
}
