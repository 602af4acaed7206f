//! Logs that clients had to make room for others.

use std::sync::Arc;
use std::time::Duration;

use chicory_telemetry::Metrics;
use slog::{Logger, warn};
use tokio::time::MissedTickBehavior;

use crate::NetMetric;

/// Time between two lines.
const LOG_INTERVAL: Duration = Duration::from_secs(1);

/// Logs that clients had to make room for others, in one line for each second in which any did.
#[derive(Clone, Debug)]
pub struct ClientLog {
    logger: Logger,
    metrics: Arc<Metrics>,
    logged: Counts,
}

/// How often clients had to make room since the start of the process.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct Counts {
    evicted_bodies: u64,
    evicted_connections: u64,
    refused_connections: u64,
}

impl ClientLog {
    /// Creates a log of what the metrics count.
    #[must_use]
    pub fn new(logger: Logger, metrics: Arc<Metrics>) -> Self {
        Self {
            logger,
            metrics,
            logged: Counts::default(),
        }
    }

    /// Writes lines for as long as the process runs.
    pub async fn run(mut self) {
        let mut ticks = tokio::time::interval(LOG_INTERVAL);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            ticks.tick().await;
            self.log_changes();
        }
    }

    fn log_changes(&mut self) {
        let counts = Counts {
            evicted_bodies: self.metrics.total(NetMetric::EvictedBodies),
            evicted_connections: self.metrics.total(NetMetric::EvictedConnections),
            refused_connections: self.metrics.total(NetMetric::RefusedCallers),
        };
        if counts == self.logged {
            return;
        }
        warn!(self.logger, "clients had to make room for others";
            "evicted_bodies" => counts.evicted_bodies - self.logged.evicted_bodies,
            "evicted_connections" => counts.evicted_connections - self.logged.evicted_connections,
            "refused_connections" => counts.refused_connections - self.logged.refused_connections);
        self.logged = counts;
    }
}
