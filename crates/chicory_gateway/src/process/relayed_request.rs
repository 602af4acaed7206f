//! A request that is relayed for another entry VM.

use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use chicory_types::MonoTime;
use tokio::time::Instant;

use super::link_load::ExpectedAnswer;
use super::relay_log::RelayedEnd;
use super::shared_state::SharedState;
use super::{GatewayMetric, RelayAdmission, RelayHead, RelayLoad, RelayOutcome, RelaySize};
use crate::RelayRecheck;

/// Longest wait for a server that the directory does not contain yet. Control VMs send each change to
/// all entry VMs at once, so a directory is behind for little more than a delay of the network.
const MAX_DIRECTORY_WAIT: Duration = Duration::from_millis(300);
/// Outcome in the log of a request that the other entry VM cancelled.
const CANCELLED: &str = "cancelled";
/// Outcome in the log of a request whose answer broke off.
const BROKEN_OFF: &str = "broken-off";

/// What all connections of a listener relay together.
pub(super) type SharedLoad = Arc<Mutex<RelayLoad>>;

/// A request that is relayed for another entry VM. However it ends, it gets a log line then, and
/// makes room for another one.
pub(super) struct RelayedRequest {
    pub(super) shared: Arc<SharedState>,
    pub(super) head: RelayHead,
    load: SharedLoad,
    started_at: MonoTime,
    /// Length of the body that the request was admitted with.
    admitted_bytes: Option<u64>,
    /// What the entry VM's link has to carry of the answer, once the request was admitted.
    expected: Option<ExpectedAnswer>,
    /// Time that the link needed for other answers when this request arrived.
    link_delay: Duration,
    relayed_bytes: u64,
    outcome: &'static str,
}

impl RelayedRequest {
    pub(super) fn new(shared: Arc<SharedState>, head: RelayHead, load: SharedLoad) -> Self {
        let now = shared.now();
        let backlog = shared.link.backlog();
        Self {
            started_at: now,
            expected: None,
            link_delay: backlog.map_or(Duration::ZERO, |backlog| backlog.delay(now)),
            shared,
            head,
            load,
            admitted_bytes: None,
            relayed_bytes: 0,
            outcome: CANCELLED,
        }
    }

    /// Admits the request with bodies of this size, or returns why it is refused.
    pub(super) fn try_admit(&mut self, size: RelaySize) -> Result<(), RelayOutcome> {
        if self.shared.readiness.is_stopping() {
            return Err(RelayOutcome::Stopping);
        }
        let now = self.shared.now();
        let server = &self.head.server;
        let reaches = self.shared.gateway().can_relay_to(now, server);
        if !reaches {
            return Err(RelayOutcome::CutOff);
        }
        if self.recheck() == RelayRecheck::Withhold {
            return Err(RelayOutcome::Unreachable);
        }
        let mut load = self.load.lock().unwrap_or_else(PoisonError::into_inner);
        match load.try_begin(now, size, self.shared.link.backlog().as_ref()) {
            RelayAdmission::Accepted => {
                self.admitted_bytes = Some(size.body_bytes);
                self.expected = Some(self.shared.link.expect(size.answer_bytes));
                Ok(())
            }
            RelayAdmission::LinkFull => {
                let refused = GatewayMetric::RelayRefusedLinkFull;
                self.shared.metrics.increment(refused);
                Err(RelayOutcome::Busy)
            }
            RelayAdmission::Full | RelayAdmission::Overloaded => Err(RelayOutcome::Busy),
        }
    }

    /// Whether the request may be sent to its server now.
    pub(super) fn recheck(&self) -> RelayRecheck {
        let now = self.shared.now();
        let gateway = self.shared.gateway();
        gateway.recheck_relayed(now, &self.head.server, self.head.address)
    }

    /// Waits until the directory contains the server, which another entry VM may have learned of
    /// earlier. Servers that it never contains get nothing: whoever reaches the port could have
    /// requests sent to any address otherwise.
    ///
    /// # Errors
    ///
    /// Returns the outcome of the request if it may not be sent.
    pub(super) async fn wait_for_server(&self) -> Result<(), RelayOutcome> {
        let mut changes = self.shared.changes.subscribe();
        let limit = MAX_DIRECTORY_WAIT.min(self.head.attempt_time / 3);
        let until = Instant::now() + limit;
        loop {
            match self.recheck() {
                RelayRecheck::Send => return Ok(()),
                RelayRecheck::Withhold => return Err(RelayOutcome::Unreachable),
                RelayRecheck::NotKnownYet => {}
            }
            let notified = tokio::time::timeout_at(until, changes.changed()).await;
            if !matches!(notified, Ok(Ok(()))) {
                return Err(RelayOutcome::UnknownServer);
            }
        }
    }

    pub(super) fn add_bytes(&mut self, bytes: u64) {
        self.relayed_bytes = self.relayed_bytes.saturating_add(bytes);
    }

    /// Records that the answer arrives, and its length.
    pub(super) fn begin_answer(&mut self, bytes: u64) {
        if let Some(expected) = &mut self.expected {
            expected.set_remaining(bytes);
        }
    }

    /// Records that a part of the answer was passed on.
    pub(super) fn record_answer_part(&mut self, bytes: usize) {
        if let Some(expected) = &mut self.expected {
            expected.record_passed_on(bytes);
        }
        self.add_bytes(bytes as u64);
    }

    /// Records that the request ended with this outcome.
    pub(super) fn end(&mut self, outcome: RelayOutcome) {
        self.outcome = outcome.as_str();
        let metric = match outcome {
            RelayOutcome::Answer => GatewayMetric::RelayedForOthers,
            RelayOutcome::Busy => GatewayMetric::RelayRefusedBusy,
            RelayOutcome::CutOff => GatewayMetric::RelayRefusedCutOff,
            RelayOutcome::Stopping => GatewayMetric::RelayRefusedStopping,
            RelayOutcome::UnknownServer => GatewayMetric::RelayRefusedUnknownServer,
            RelayOutcome::BadRequest => GatewayMetric::RelayRefusedMalformed,
            RelayOutcome::Unreachable
            | RelayOutcome::RefusedByServer
            | RelayOutcome::TurnedAway
            | RelayOutcome::Broken
            | RelayOutcome::Malformed => GatewayMetric::RelayFailures,
        };
        self.shared.metrics.increment(metric);
    }

    /// Records that the answer broke off after its head was passed on.
    pub(super) fn break_off(&mut self) {
        self.outcome = BROKEN_OFF;
        self.shared.metrics.increment(GatewayMetric::RelayFailures);
    }
}

impl Drop for RelayedRequest {
    fn drop(&mut self) {
        if let Some(body_bytes) = self.admitted_bytes {
            let mut load = self.load.lock().unwrap_or_else(PoisonError::into_inner);
            load.end(body_bytes);
        }
        let shared = &self.shared;
        shared
            .metrics
            .add(GatewayMetric::RelayedBytes, self.relayed_bytes);
        let now = shared.now();
        let took = now.saturating_sub(self.started_at);
        shared.relayed.ended(
            now,
            &self.head,
            &RelayedEnd {
                outcome: self.outcome,
                took,
                bytes: self.relayed_bytes,
                link_delay: self.link_delay,
            },
        );
    }
}
