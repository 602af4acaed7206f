//! Records changes of state as log lines and metrics.

use chicory_telemetry::Metrics;
use slog::{Logger, info, warn};

use super::control_metric::ControlMetric;
use crate::{ControlNote, GroupName};

/// Records a change of state in the log and the metrics.
pub fn record_note(logger: &Logger, metrics: &Metrics, note: &ControlNote) {
    match note {
        ControlNote::BecameLeader { group, term } => {
            metrics.increment(ControlMetric::Elections);
            metrics.set(leads_metric(*group), 1);
            info!(logger, "became leader"; "group" => ?group, "term" => term);
        }
        ControlNote::LostLeadership { group } => {
            metrics.set(leads_metric(*group), 0);
            info!(logger, "lost leadership"; "group" => ?group);
        }
        ControlNote::EnteredZoneGroup {
            group_epoch,
            is_founder,
        } => info!(logger, "entered the zone's group";
            "group_epoch" => group_epoch, "is_founder" => is_founder),
        ControlNote::LeftZoneGroup => {
            metrics.set(ControlMetric::LeadsZone, 0);
            warn!(logger, "left the zone's group");
        }
        ControlNote::TableInForce { revision } => {
            metrics.set(ControlMetric::TableRevision, *revision);
            info!(logger, "table in force"; "revision" => revision);
        }
        ControlNote::GlobalGroupUnreachable => warn!(logger, "global group unreachable"),
        ControlNote::GlobalGroupReachable => info!(logger, "global group reachable"),
    }
}

fn leads_metric(group: GroupName) -> ControlMetric {
    match group {
        GroupName::Global => ControlMetric::LeadsGlobal,
        GroupName::Zone => ControlMetric::LeadsZone,
    }
}
