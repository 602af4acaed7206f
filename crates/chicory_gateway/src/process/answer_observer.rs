//! Follows an answer until it ends.

use std::time::Duration;

use bytes::Bytes;
use chicory_net::http::{BodyError, BodyObserver, BodySource, ServerLink};
use chicory_ranges::ServerIncarnation;

use super::request_guard::RequestGuard;
use crate::AttemptOutcome;

/// Time within which a connection must be ready for another request after an answer.
const READY_TIMEOUT: Duration = Duration::from_secs(1);

/// Follows an answer until it ends, then records the end of the attempt and keeps the connection.
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
        link.clear_expiry();
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

    fn failed(mut self: Box<Self>, error: &BodyError) {
        self.guard.end_attempt(AttemptOutcome::Broken);
        let shared = &self.guard.shared;
        let ticket = &self.guard.ticket;
        shared.requests.broken_off(shared.now(), ticket, error);
    }

    fn abandoned(mut self: Box<Self>, _rest: BodySource) {
        self.guard.end_attempt(AttemptOutcome::Cancelled);
    }
}
