//! Logs which availability zones are evacuated, and counts them.

use std::collections::BTreeSet;

use chicory_types::ZoneName;
use slog::info;

use super::GatewayMetric;
use super::shared_state::SharedState;

/// The evacuated availability zones that were logged last.
#[derive(Default)]
pub(super) struct EvacuationLog {
    zones: BTreeSet<ZoneName>,
}

impl EvacuationLog {
    /// Logs a change of the evacuated zones since the previous call.
    pub(super) fn update(&mut self, shared: &SharedState) {
        let zones: BTreeSet<ZoneName> = {
            let gateway = shared.gateway();
            gateway.directory().evacuations().zones().cloned().collect()
        };
        if zones == self.zones {
            return;
        }
        let count = zones.len() as u64;
        shared.metrics.set(GatewayMetric::EvacuatedZones, count);
        info!(shared.logger, "evacuated zones changed"; "zones" => ?zones);
        self.zones = zones;
    }
}
