//! Reports the progress of streamed request bodies to the core loop.

use bytes::Bytes;
use chicory_dispatch::Event;
use chicory_net::http::{BodyError, BodyObserver, BodySource};
use chicory_types::RequestId;

use crate::inbox::Inbox;

/// Reports the progress of a streamed request body to the core loop.
///
/// A failure of the body need not be reported, because it makes the exchange fail.
#[derive(Debug)]
pub(crate) struct RequestObserver {
    pub(crate) request: RequestId,
    pub(crate) inbox: Inbox,
}

impl BodyObserver for RequestObserver {
    fn progressed(&mut self, _part: &Bytes) {
        let request = self.request;
        self.inbox.send_event(Event::RequestProgressed { request });
    }

    fn finished(self: Box<Self>) {}

    fn failed(self: Box<Self>, _error: &BodyError) {}

    fn abandoned(self: Box<Self>, _rest: BodySource) {}
}
