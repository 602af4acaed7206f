//! Log lines about the path to backend servers, at a limited rate.

use std::sync::{Arc, Mutex, PoisonError};

use chicory_directory::RelayPeer;
use chicory_telemetry::Metrics;
use chicory_types::MonoTime;
use slog::{Logger, info, warn};

use super::GatewayMetric;
use super::line_budget::LineBudget;
use crate::ReachabilityChange;

/// Writes a line when the path to backend servers is found to be cut or open again, and when other
/// relay peers are known.
pub(super) struct ReachabilityLog {
    logger: Logger,
    metrics: Arc<Metrics>,
    budget: Mutex<LineBudget>,
}

impl ReachabilityLog {
    pub(super) fn new(logger: Logger, metrics: Arc<Metrics>) -> Self {
        Self {
            logger,
            metrics,
            budget: Mutex::default(),
        }
    }

    /// Logs and counts that the path to a group of servers was found to be cut, or open again.
    pub(super) fn changed(&self, now: MonoTime, change: &ReachabilityChange, relay_count: usize) {
        self.metrics.increment(if change.is_cut {
            GatewayMetric::PathsCut
        } else {
            GatewayMetric::PathsRestored
        });
        let Some(suppressed) = self.take_line(now) else {
            return;
        };
        if change.is_cut {
            warn!(self.logger, "path to backend servers is cut"; "servers" => %change.group,
                "relay_count" => relay_count, "lines_suppressed" => suppressed);
        } else {
            info!(self.logger, "path to backend servers is open again";
                "servers" => %change.group, "relay_count" => relay_count,
                "lines_suppressed" => suppressed);
        }
    }

    /// Logs which entry VMs may relay requests.
    pub(super) fn relays_changed(&self, now: MonoTime, peers: &[RelayPeer]) {
        let Some(suppressed) = self.take_line(now) else {
            return;
        };
        let vms: Vec<&str> = peers.iter().map(|peer| peer.vm.as_str()).collect();
        info!(self.logger, "relay peers changed"; "vms" => ?vms, "lines_suppressed" => suppressed);
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
