//! Sends requests to backend servers by way of other entry VMs.

use std::sync::Arc;
use std::time::Duration;

use chicory_directory::RelayPeer;
use chicory_net::http::{HttpBody, SendError, ServerLink};
use chicory_telemetry::Metrics;
use chicory_types::{Clock, VmId};
use hyper::body::Incoming;
use hyper::{Request, Response};

use super::relay_handler::OUTCOME;
use super::relay_pool::RelayPool;
use super::{GatewayMetric, RelayHead, RelayOutcome};
use crate::{AttemptOutcome, Target};

/// Sends requests to backend servers by way of other entry VMs.
pub struct RelayClient {
    vm: VmId,
    pool: RelayPool,
    clock: Arc<dyn Clock + Send + Sync>,
    metrics: Arc<Metrics>,
}

/// What the entry VM that relays a request has to know of its caller.
#[derive(Clone, Copy, Debug)]
pub struct RelayedCall<'a> {
    /// Id of the request.
    pub request: Option<&'a str>,
    /// Time for which the caller still waits.
    pub time_left: Duration,
}

impl RelayClient {
    /// Creates a client of this entry VM, without connections.
    #[must_use]
    pub fn new(vm: VmId, clock: Arc<dyn Clock + Send + Sync>, metrics: Arc<Metrics>) -> Self {
        Self {
            vm,
            pool: RelayPool::default(),
            clock,
            metrics,
        }
    }

    /// Sends a request and waits for the head of the server's answer. `request` is asked for the
    /// request each time that one is about to be sent, and may refuse it then.
    ///
    /// # Errors
    ///
    /// The outcome of the attempt if there is no answer of the server.
    pub async fn send(
        &self,
        peer: &RelayPeer,
        target: &Target,
        call: RelayedCall<'_>,
        request: impl Fn() -> Result<Request<HttpBody>, AttemptOutcome> + Send + Sync,
    ) -> Result<(ServerLink, Response<Incoming>), AttemptOutcome> {
        self.metrics.increment(GatewayMetric::RelayedRequests);
        let sent = self.send_on_any(peer, target, call, request).await;
        match &sent {
            Err(AttemptOutcome::RelayUnavailable | AttemptOutcome::RefusedByRelay) => {
                self.metrics.increment(GatewayMetric::RelaysUnavailable);
            }
            Err(AttemptOutcome::RelayBroken) => {
                self.metrics.increment(GatewayMetric::RelaysBroken);
                self.close_all(&peer.vm);
            }
            _ => {}
        }
        sent
    }

    /// Keeps a connection for a later request.
    pub fn keep(&self, vm: &VmId, link: ServerLink) {
        self.pool.put(self.clock.now(), vm, link);
    }

    /// Closes all idle connections to an entry VM.
    pub fn close_all(&self, vm: &VmId) {
        self.pool.close_all(vm);
    }

    /// Closes connections that have been idle for too long.
    pub fn prune(&self) {
        self.pool.prune(self.clock.now());
    }

    /// Sends on a pooled connection, or on a new one if there is none or the pooled one is closed.
    async fn send_on_any(
        &self,
        peer: &RelayPeer,
        target: &Target,
        call: RelayedCall<'_>,
        request: impl Fn() -> Result<Request<HttpBody>, AttemptOutcome> + Send + Sync,
    ) -> Result<(ServerLink, Response<Incoming>), AttemptOutcome> {
        let outgoing = || {
            let mut request = request()?;
            let head = self.head(target, call);
            let written = head.write(request.headers_mut());
            written.map_err(|_| AttemptOutcome::RelayUnavailable)?;
            Ok(request)
        };
        loop {
            let pooled = self.pool.take(self.clock.now(), &peer.vm, target.max_idle);
            let is_pooled = pooled.is_some();
            let mut link = match pooled {
                Some(link) => link,
                None => open(peer, target.connect_timeout).await?,
            };
            match link.send(outgoing()?).await {
                Ok(response) => return self.read_outcome(peer, link, response),
                Err(SendError::NothingSent) if is_pooled => {}
                Err(SendError::NothingSent) => return Err(AttemptOutcome::RelayUnavailable),
                Err(SendError::Malformed | SendError::Broken) => {
                    return Err(AttemptOutcome::RelayBroken);
                }
            }
        }
    }

    fn head(&self, target: &Target, call: RelayedCall<'_>) -> RelayHead {
        RelayHead {
            from: self.vm.clone(),
            request: call.request.map(str::to_owned),
            server: target.incarnation.clone(),
            address: target.address,
            attempt_time: target.attempt_deadline.saturating_sub(self.clock.now()),
            caller_time: call.time_left,
            connect_timeout: target.connect_timeout,
            max_idle: target.max_idle,
            settle_time: target.settle_time,
        }
    }

    /// Returns the server's answer as the server sent it, or the outcome of the attempt if there is
    /// none.
    fn read_outcome(
        &self,
        peer: &RelayPeer,
        link: ServerLink,
        mut response: Response<Incoming>,
    ) -> Result<(ServerLink, Response<Incoming>), AttemptOutcome> {
        let stated = response.headers_mut().remove(OUTCOME);
        let outcome = stated.and_then(|name| RelayOutcome::named(name.as_bytes()));
        match outcome.map(RelayOutcome::attempt_outcome) {
            Some(None) => Ok((link, response)),
            Some(Some(outcome)) => {
                if link.is_ready() {
                    self.keep(&peer.vm, link);
                }
                Err(outcome)
            }
            None => Err(AttemptOutcome::RelayBroken),
        }
    }
}

async fn open(peer: &RelayPeer, timeout: Duration) -> Result<ServerLink, AttemptOutcome> {
    let opened = ServerLink::open(&peer.address.to_string(), timeout, || {}).await;
    opened.map_err(|_| AttemptOutcome::RelayUnavailable)
}
