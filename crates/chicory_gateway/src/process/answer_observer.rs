//! Follows an answer until it ends.

use bytes::Bytes;
use chicory_net::http::{BodyError, BodyObserver, BodySource};

use super::request_guard::RequestGuard;
use super::used_link::UsedLink;
use crate::AttemptOutcome;

/// Follows an answer until it ends, then records the end of the attempt and keeps the connection.
pub(super) struct AnswerObserver {
    pub(super) guard: RequestGuard,
    pub(super) link: UsedLink,
}

impl BodyObserver for AnswerObserver {
    fn progressed(&mut self, _part: &Bytes) {}

    fn finished(self: Box<Self>) {
        let Self { mut guard, link } = *self;
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
