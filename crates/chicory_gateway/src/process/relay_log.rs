//! Log lines about requests that are relayed for other entry VMs, at a limited rate.

use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use chicory_telemetry::Metrics;
use chicory_types::MonoTime;
use slog::{Logger, info, warn};

use super::line_budget::LineBudget;
use super::{GatewayMetric, RelayHead, RelayHeadError};

/// Writes a line for each request that is relayed for another entry VM.
pub(super) struct RelayLog {
    logger: Logger,
    metrics: Arc<Metrics>,
    budget: Mutex<LineBudget>,
}

impl RelayLog {
    pub(super) fn new(logger: Logger, metrics: Arc<Metrics>) -> Self {
        Self {
            logger,
            metrics,
            budget: Mutex::default(),
        }
    }

    /// Logs the end of a request that came from another entry VM.
    pub(super) fn ended(
        &self,
        now: MonoTime,
        head: &RelayHead,
        outcome: &str,
        (took, relayed_bytes): (Duration, u64),
    ) {
        let Some(suppressed) = self.take_line(now) else {
            return;
        };
        info!(self.logger, "relayed request"; "request" => head.request.as_deref(),
            "from" => &head.from, "server" => %head.server, "outcome" => outcome,
            "took_ms" => u64::try_from(took.as_millis()).unwrap_or(u64::MAX),
            "bytes" => relayed_bytes, "lines_suppressed" => suppressed);
    }

    /// Logs a request whose headers can't be read.
    pub(super) fn malformed(&self, now: MonoTime, error: RelayHeadError) {
        let Some(suppressed) = self.take_line(now) else {
            return;
        };
        warn!(self.logger, "request to relay can't be read"; "error" => %error,
            "lines_suppressed" => suppressed);
    }

    fn take_line(&self, now: MonoTime) -> Option<u64> {
        let mut budget = self.budget.lock().unwrap_or_else(PoisonError::into_inner);
        let line = budget.take(now);
        if line.is_none() {
            self.metrics.increment(GatewayMetric::LogLinesSuppressed);
        }
        line
    }
}
