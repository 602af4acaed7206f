//! Log lines and metrics of admission to overloaded owners.

use chicory_directory::AdmittedFraction;
use chicory_types::MonoTime;
use slog::info;

use super::GatewayMetric;
use super::shared_state::SharedState;

impl SharedState {
    /// Records which owners get only a part of their requests. The leader sends at most one message
    /// each 350 ms, which bounds the lines.
    pub(super) fn record_owner_admission(&self, now: MonoTime, admitted: Vec<AdmittedFraction>) {
        let changed = self.gateway().record_owner_admission(now, admitted);
        match changed {
            None => {}
            Some(0) => info!(self.logger, "all owners get all requests again"),
            Some(count) => {
                info!(self.logger, "owners get a part of their requests"; "owners" => count);
            }
        }
    }

    /// Counts what was refused by admission. It is called with each periodic report.
    pub(super) fn count_owner_admission(&self, now: MonoTime) {
        let (owner_count, refused) = {
            let mut gateway = self.gateway();
            (
                gateway.limited_owner_count(now),
                gateway.take_admission_refusals(),
            )
        };
        self.metrics
            .set(GatewayMetric::OverloadedOwners, owner_count as u64);
        self.metrics.add(GatewayMetric::RefusedByAdmission, refused);
    }
}
