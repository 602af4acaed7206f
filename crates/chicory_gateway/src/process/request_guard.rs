//! Ends the account of a request, whichever way it ends.

use std::sync::Arc;

use super::GatewayMetric;
use super::shared::Shared;
use crate::{AttemptOutcome, NextStep, RequestTicket};

/// A request on its way; dropped while an attempt runs, it counts as cancelled by its caller.
pub(super) struct RequestGuard {
    pub(super) shared: Arc<Shared>,
    pub(super) ticket: RequestTicket,
    is_attempt_open: bool,
}

impl RequestGuard {
    pub(super) fn new(shared: Arc<Shared>, ticket: RequestTicket) -> Self {
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

    /// Reports the end of an attempt; whether the request may be sent again.
    pub(super) fn end_attempt(&mut self, outcome: AttemptOutcome) -> bool {
        if !std::mem::take(&mut self.is_attempt_open) {
            return false;
        }
        let now = self.shared.now();
        let mut gateway = self.shared.gateway();
        gateway.attempt_ended(now, &mut self.ticket, outcome)
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
