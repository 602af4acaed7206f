//! A connection that carried a request, and where it is kept for another one.

use std::sync::Arc;
use std::time::Duration;

use chicory_net::http::ServerLink;
use chicory_ranges::ServerIncarnation;
use chicory_types::VmId;

use super::shared_state::SharedState;
use crate::AttemptOutcome;

/// Time within which a connection must be ready for another request after an answer.
const READY_TIMEOUT: Duration = Duration::from_secs(1);

/// The other end of a connection that carried a request.
#[derive(Clone, Debug)]
pub(super) enum LinkPeer {
    /// A backend server, and the time for which it keeps the connection, if it stated one.
    Server(ServerIncarnation, Option<Duration>),
    /// The entry VM that relayed the request.
    Relay(VmId),
}

impl LinkPeer {
    /// Returns the outcome of an attempt whose answer breaks off.
    pub(super) fn broken_outcome(&self) -> AttemptOutcome {
        match self {
            Self::Server(..) => AttemptOutcome::Broken,
            Self::Relay(_) => AttemptOutcome::RelayBroken,
        }
    }
}

/// A connection that carried a request, and where it is kept for another one.
pub(super) struct UsedLink {
    pub(super) link: ServerLink,
    pub(super) peer: LinkPeer,
}

impl UsedLink {
    /// Records that the server refused the request with this id on the connection. A refusal that
    /// was relayed is recorded by the entry VM that has the connection to the server.
    pub(super) fn record_refusal(&mut self, request: Option<&str>) {
        if matches!(self.peer, LinkPeer::Server(..)) {
            self.link.record_refusal(request);
        }
    }

    /// Keeps the connection for a later request.
    pub(super) fn keep(self, shared: &SharedState) {
        let now = shared.now();
        match self.peer {
            LinkPeer::Server(incarnation, keep_alive) => {
                shared.pool.put(now, &incarnation, self.link, keep_alive);
            }
            LinkPeer::Relay(vm) => shared.relays.keep(&vm, self.link),
        }
    }

    /// Keeps the connection as soon as it is ready for another request.
    pub(super) fn keep_when_ready(mut self, shared: Arc<SharedState>) {
        self.link.clear_expiry();
        if self.link.is_ready() {
            self.keep(&shared);
            return;
        }
        tokio::spawn(async move {
            let is_ready = tokio::time::timeout(READY_TIMEOUT, self.link.ready()).await;
            if is_ready.unwrap_or(false) {
                self.keep(&shared);
            }
        });
    }
}
