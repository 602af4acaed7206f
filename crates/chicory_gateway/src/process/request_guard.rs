//! Records the end of a request's attempts, however they end.

use std::sync::Arc;

use super::GatewayMetric;
use super::shared_state::SharedState;
use crate::{AttemptOutcome, NextStep, RequestTicket};

/// A request that is being served. If it is dropped while an attempt runs, the attempt is recorded
/// as cancelled by the caller.
pub(super) struct RequestGuard {
    pub(super) shared: Arc<SharedState>,
    pub(super) ticket: RequestTicket,
    is_attempt_open: bool,
}

impl RequestGuard {
    pub(super) fn new(shared: Arc<SharedState>, ticket: RequestTicket) -> Self {
        Self {
            shared,
            ticket,
            is_attempt_open: false,
        }
    }

    pub(super) fn next_step(&mut self) -> NextStep {
        let now = self.shared.now();
        let step = self.shared.gateway().next_step(now, &mut self.ticket);
        self.is_attempt_open = matches!(step, NextStep::Send(_));
        step
    }

    /// Records the end of an attempt. Returns whether the request may be sent again.
    pub(super) fn end_attempt(&mut self, outcome: AttemptOutcome) -> bool {
        if !std::mem::take(&mut self.is_attempt_open) {
            return false;
        }
        let now = self.shared.now();
        let may_be_cut_off = matches!(
            outcome,
            AttemptOutcome::Unreachable
                | AttemptOutcome::Refused
                | AttemptOutcome::ConnectionRejected
                | AttemptOutcome::Broken
                | AttemptOutcome::Silent
        );
        if may_be_cut_off {
            self.shared.probe_hints.notify_one();
        }
        let mut gateway = self.shared.gateway();
        let may_retry = gateway.record_attempt_end(now, &mut self.ticket, outcome);
        if gateway.has_awaited_slots(now) {
            self.shared.freed_slots.notify_waiters();
        }
        may_retry
    }
}

impl Drop for RequestGuard {
    fn drop(&mut self) {
        if self.is_attempt_open {
            self.shared.metrics.increment(GatewayMetric::Cancelled);
            self.end_attempt(AttemptOutcome::Cancelled);
        }
    }
}
