//! Reports the progress of answers that are being forwarded to the core loop.

use bytes::Bytes;
use chicory_dispatch::{ConnectionId, Event, ExchangeFailure, RelayFailure};
use chicory_net::http::{BodyError, BodyObserver, BodySource, HttpBody};
use chicory_ownership::StoredAnswer;
use chicory_types::RequestId;
use http_body_util::BodyExt;

use crate::inbox::Inbox;
use crate::input::Input;

/// Maximum size of an answer's body that is kept for resends of an order.
const MAX_KEPT_BODY_BYTES: usize = 64 * 1024;

/// The sender of an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum AnswerSource {
    /// A backend server.
    Server(ConnectionId),
    /// Another entry process.
    Relay,
}

/// Reports the progress and the end of an answer to the core loop.
#[derive(Debug)]
pub(crate) struct AnswerObserver {
    request: RequestId,
    source: AnswerSource,
    inbox: Inbox,
    has_progressed: bool,
    kept: Option<StoredAnswer>,
}

impl AnswerObserver {
    /// Creates an observer. `kept` is the answer without its body if the answer is kept for resends
    /// of the order.
    pub(crate) fn new(
        request: RequestId,
        source: AnswerSource,
        inbox: Inbox,
        kept: Option<StoredAnswer>,
    ) -> Self {
        Self {
            request,
            source,
            inbox,
            has_progressed: false,
            kept,
        }
    }

    fn keep_part(&mut self, part: &Bytes) {
        let Some(kept) = &mut self.kept else {
            return;
        };
        let Some(body) = &mut kept.body else {
            return;
        };
        if body.len() + part.len() > MAX_KEPT_BODY_BYTES {
            kept.body = None;
        } else {
            body.extend_from_slice(part);
        }
    }
}

async fn drain(mut body: HttpBody) {
    while let Some(Ok(_)) = body.frame().await {}
}

impl BodyObserver for AnswerObserver {
    fn progressed(&mut self, part: &Bytes) {
        self.keep_part(part);
        let request = self.request;
        // The first part is not reported: it is received right after the head, and most answers
        // have no second part.
        if self.has_progressed {
            self.inbox.send_event(Event::AnswerProgressed { request });
        }
        self.has_progressed = true;
    }

    fn finished(self: Box<Self>) {
        let request = self.request;
        match self.source {
            AnswerSource::Server(connection) => self.inbox.send(Input::AnswerFinished {
                request,
                connection,
                kept: self.kept,
            }),
            AnswerSource::Relay => self.inbox.send_event(Event::RelayFinished { request }),
        }
    }

    fn failed(self: Box<Self>, _error: &BodyError) {
        let request = self.request;
        self.inbox.send_event(match self.source {
            AnswerSource::Server(_) => Event::ExchangeFailed {
                request,
                failure: ExchangeFailure::BrokenInAnswer,
            },
            AnswerSource::Relay => Event::RelayFailed {
                request,
                failure: RelayFailure::BrokenInAnswer,
            },
        });
    }

    fn abandoned(self: Box<Self>, rest: BodySource) {
        let request = self.request;
        self.inbox.send_event(Event::CallerGone { request });
        if self.kept.is_some() {
            // A resend of the order is answered with this answer, so it is read to its end.
            tokio::spawn(drain(HttpBody::observed(rest, self)));
        }
    }
}
