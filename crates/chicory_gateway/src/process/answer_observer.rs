//! Follows an answer to its end.

use std::time::Duration;

use bytes::Bytes;
use chicory_net::http::{BodyError, BodyObserver, BodySource, ServerLink};
use chicory_ranges::ServerIncarnation;

use super::request_guard::RequestGuard;
use crate::AttemptOutcome;

/// Time for a connection to become usable again after an answer.
const READY_TIMEOUT: Duration = Duration::from_secs(1);

/// Follows an answer to its end: keeps its connection, and ends the account of its request.
pub(super) struct AnswerObserver {
    pub(super) guard: RequestGuard,
    pub(super) incarnation: ServerIncarnation,
    pub(super) link: ServerLink,
    pub(super) keep_alive: Option<Duration>,
}

impl BodyObserver for AnswerObserver {
    fn progressed(&mut self, _part: &Bytes) {}

    fn finished(self: Box<Self>) {
        let Self {
            mut guard,
            incarnation,
            mut link,
            keep_alive,
        } = *self;
        guard.end_attempt(AttemptOutcome::Answered);
        let shared = guard.shared.clone();
        if link.is_ready() {
            shared
                .pool
                .put(shared.now(), &incarnation, link, keep_alive);
            return;
        }
        tokio::spawn(async move {
            let is_ready = tokio::time::timeout(READY_TIMEOUT, link.ready()).await;
            if is_ready.unwrap_or(false) {
                shared
                    .pool
                    .put(shared.now(), &incarnation, link, keep_alive);
            }
        });
    }

    fn failed(mut self: Box<Self>, _error: &BodyError) {
        self.guard.end_attempt(AttemptOutcome::Broken);
    }

    fn abandoned(mut self: Box<Self>, _rest: BodySource) {
        self.guard.end_attempt(AttemptOutcome::Cancelled);
    }
}
