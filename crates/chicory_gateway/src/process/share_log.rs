//! Records and counts the choice of servers by shares.

use chicory_directory::ServiceShares;
use chicory_types::MonoTime;
use slog::info;

use super::GatewayMetric;
use super::shared_state::SharedState;

/// Records shares that the leader sends. The first ones get a log line.
pub(super) fn record(shared: &SharedState, now: MonoTime, services: Vec<ServiceShares>) {
    let mut gateway = shared.gateway();
    if gateway.shares_age(now).is_none() {
        let names: Vec<&str> = services
            .iter()
            .map(|shares| shares.service.as_str())
            .collect();
        info!(shared.logger, "chooses servers by shares of their slots"; "services" => ?names);
    }
    gateway.record_server_shares(now, services);
}

/// Adds the counts since the previous call to the metrics.
pub(super) fn count(shared: &SharedState) {
    let now = shared.now();
    let (counts, age) = {
        let mut gateway = shared.gateway();
        (gateway.take_share_counts(), gateway.shares_age(now))
    };
    let metrics = &shared.metrics;
    metrics.add(GatewayMetric::SentWithinShares, counts.within);
    metrics.add(GatewayMetric::SentBeyondShares, counts.beyond);
    metrics.add(GatewayMetric::AwaitedSlots, counts.awaited);
    metrics.add(GatewayMetric::RejectedWithShares, counts.rejected);
    if let Some(age) = age {
        metrics.set(GatewayMetric::SharesAge, age.as_secs());
    }
}
