//! Log lines about requests that are relayed for other entry VMs, at a limited rate.

use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use chicory_telemetry::Metrics;
use chicory_types::MonoTime;
use slog::{Logger, info, warn};

use super::line_budget::LineBudget;
use super::{GatewayMetric, RelayHead, RelayHeadError};

/// How a request that was relayed for another entry VM ended.
pub(super) struct RelayedEnd {
    pub(super) outcome: &'static str,
    pub(super) took: Duration,
    /// Bytes of the bodies that were relayed.
    pub(super) bytes: u64,
    /// Time that the entry VM's link needed for other answers when the request arrived.
    pub(super) link_delay: Duration,
}

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
    pub(super) fn ended(&self, now: MonoTime, head: &RelayHead, end: &RelayedEnd) {
        let Some(suppressed) = self.take_line(now) else {
            return;
        };
        info!(self.logger, "relayed request"; "request" => head.request.as_deref(),
            "from" => &head.from, "server" => %head.server, "outcome" => end.outcome,
            "took_ms" => millis(end.took), "bytes" => end.bytes,
            "link_delay_ms" => millis(end.link_delay), "lines_suppressed" => suppressed);
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

fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
