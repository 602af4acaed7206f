//! Follows an answer until it ends.

use std::time::Duration;

use bytes::Bytes;
use chicory_net::http::{BodyError, BodyObserver, BodySource};
use chicory_types::MonoTime;

use super::link_load::ExpectedAnswer;
use super::request_guard::RequestGuard;
use super::used_link::{LinkPeer, UsedLink};
use crate::AttemptOutcome;

/// Shortest time between two records that parts of one answer arrive.
const PROGRESS_INTERVAL: Duration = Duration::from_millis(200);

/// Follows an answer until it ends, then records the end of the attempt and keeps the connection.
pub(super) struct AnswerObserver {
    guard: RequestGuard,
    link: UsedLink,
    expected: ExpectedAnswer,
    progress_due_at: MonoTime,
}

impl AnswerObserver {
    pub(super) fn new(guard: RequestGuard, link: UsedLink, expected: ExpectedAnswer) -> Self {
        let progress_due_at = guard.shared.now() + PROGRESS_INTERVAL;
        Self {
            guard,
            link,
            expected,
            progress_due_at,
        }
    }
}

impl BodyObserver for AnswerObserver {
    fn progressed(&mut self, part: &Bytes) {
        self.expected.record_passed_on(part.len());
        let shared = &self.guard.shared;
        let now = shared.now();
        if let LinkPeer::Server(server, _) = &self.link.peer
            && now >= self.progress_due_at
        {
            self.progress_due_at = now + PROGRESS_INTERVAL;
            shared.gateway().record_progress(now, server);
        }
    }

    fn finished(self: Box<Self>) {
        let Self {
            mut guard, link, ..
        } = *self;
        guard.end_attempt(AttemptOutcome::Answered);
        link.keep_when_ready(guard.shared.clone());
    }

    fn failed(mut self: Box<Self>, error: &BodyError) {
        self.guard.end_attempt(self.link.peer.broken_outcome());
        let shared = &self.guard.shared;
        let ticket = &self.guard.ticket;
        shared.requests.broken_off(shared.now(), ticket, error);
    }

    fn abandoned(mut self: Box<Self>, _rest: BodySource) {
        self.guard.end_attempt(AttemptOutcome::Cancelled);
    }
}
