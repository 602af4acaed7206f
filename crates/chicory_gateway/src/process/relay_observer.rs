//! Follows a relayed answer until it ends.

use bytes::Bytes;
use chicory_net::http::{BodyError, BodyObserver, BodySource};

use super::RelayOutcome;
use super::relayed_request::RelayedRequest;
use super::used_link::UsedLink;

/// Follows a relayed answer until it ends, then keeps the connection to the server.
pub(super) struct RelayObserver {
    pub(super) request: RelayedRequest,
    pub(super) link: UsedLink,
}

impl BodyObserver for RelayObserver {
    fn progressed(&mut self, part: &Bytes) {
        self.request.record_answer_part(part.len());
    }

    fn finished(self: Box<Self>) {
        let Self { mut request, link } = *self;
        request.end(RelayOutcome::Answer);
        link.keep_when_ready(request.shared.clone());
    }

    fn failed(mut self: Box<Self>, _error: &BodyError) {
        self.request.break_off();
    }

    // The connection to the server is closed as the observer is dropped.
    fn abandoned(self: Box<Self>, _rest: BodySource) {}
}
