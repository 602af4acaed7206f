//! Evacuated availability zones: which ones may be ordered, and when an evacuation is in force.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use chicory_directory::{CommandOutcome, ServerRecord};
use chicory_ranges::{Fence, Transfer};
use chicory_types::{LogIndex, MonoTime, ZoneName};

use super::{SiteCore, SiteNote};

/// Interval at which owners are checked if no keys move: servers of the zone may be removed.
const CHECK_INTERVAL: Duration = Duration::from_millis(200);

/// How far the evacuation of each zone has come, as this member knows it.
#[derive(Clone, Debug, Default)]
pub(super) struct EvacuationProgress {
    zones: BTreeMap<ZoneName, ZoneProgress>,
    checked_fence: Fence,
    checked_at: MonoTime,
}

#[derive(Clone, Copy, Debug)]
struct ZoneProgress {
    /// When this member applied the order.
    begun_at: MonoTime,
    /// Whether no keys are left in the zone.
    is_in_force: bool,
}

impl EvacuationProgress {
    /// Follows the set of evacuated zones.
    fn follow(&mut self, now: MonoTime, evacuated: &BTreeSet<ZoneName>) {
        self.zones.retain(|zone, _| evacuated.contains(zone));
        for zone in evacuated {
            self.zones.entry(zone.clone()).or_insert(ZoneProgress {
                begun_at: now,
                is_in_force: false,
            });
        }
    }

    /// Whether keys may be left in an evacuated zone.
    pub(super) fn is_any_pending(&self) -> bool {
        self.zones.values().any(|progress| !progress.is_in_force)
    }

    /// Whether the owners of keys have to be looked at.
    fn is_check_due(&mut self, now: MonoTime, last_fence: Fence) -> bool {
        let has_changed = self.checked_fence != last_fence;
        let is_due =
            self.is_any_pending() && (has_changed || now >= self.checked_at + CHECK_INTERVAL);
        if is_due {
            self.checked_fence = last_fence;
            self.checked_at = now;
        }
        is_due
    }

    /// Records which zones have keys. Returns those whose evacuation is in force since this call,
    /// with the time that this took.
    fn record_owners(
        &mut self,
        now: MonoTime,
        zones_with_keys: &BTreeSet<ZoneName>,
    ) -> Vec<(ZoneName, Duration)> {
        let mut in_force = Vec::new();
        for (zone, progress) in &mut self.zones {
            if !progress.is_in_force && !zones_with_keys.contains(zone) {
                progress.is_in_force = true;
                in_force.push((zone.clone(), now.saturating_sub(progress.begun_at)));
            }
        }
        in_force
    }
}

impl SiteCore {
    /// Whether the deployment has this availability zone. An evacuated zone is known even if it was
    /// removed from the settings, so that its evacuation can be finished.
    pub(super) fn is_known_zone(&self, zone: &ZoneName) -> bool {
        if self.state.evacuated_zones().contains(zone) {
            return true;
        }
        if !self.config.zones.is_empty() {
            return self.config.zones.contains(zone);
        }
        self.config.zone.as_ref() == Some(zone)
            || self.control_zones.values().any(|known| known == zone)
            || self.state.servers().any(|record| record.zone == *zone)
    }

    /// Whether nothing is to be sent to a server because its zone is evacuated.
    pub(super) fn is_evacuated(&self, record: &ServerRecord) -> bool {
        self.state.evacuated_zones().contains(&record.zone)
    }

    /// Whether a transfer takes keys from a server of an evacuated zone.
    pub(super) fn is_from_evacuated_zone(&self, transfer: &Transfer) -> bool {
        let owner = transfer.from.as_ref();
        let record = owner.and_then(|owner| self.state.server(&owner.server));
        record.is_some_and(|record| self.is_evacuated(record))
    }

    /// Notes a change of the evacuated zones, and has owners planned at once.
    pub(super) fn on_evacuations_changed(&mut self, index: LogIndex, outcome: &CommandOutcome) {
        let note = match outcome {
            CommandOutcome::EvacuationBegun(zone) => SiteNote::EvacuationBegun {
                zone: zone.clone(),
                index,
            },
            CommandOutcome::EvacuationFinished(zone) => SiteNote::EvacuationFinished {
                zone: zone.clone(),
                index,
            },
            _ => return,
        };
        self.push_note(note);
        self.plan_at = MonoTime::ZERO;
    }

    /// Notes the zones from which all keys have moved, on the leader only. The others keep count,
    /// so that a later leader does not note the same again.
    pub(super) fn check_evacuations(&mut self, now: MonoTime) {
        self.evacuations.follow(now, self.state.evacuated_zones());
        let registry = self.state.registry();
        if !self.evacuations.is_check_due(now, registry.last_fence()) {
            return;
        }
        let owners = registry.all_ranges();
        let owners = owners.filter_map(|(_, owned)| {
            let record = self.state.server(&owned.owner.server)?;
            (record.incarnation == owned.owner).then(|| record.zone.clone())
        });
        let zones_with_keys = owners.collect();
        let in_force = self.evacuations.record_owners(now, &zones_with_keys);
        if self.mover.is_none() {
            return;
        }
        for (zone, took) in in_force {
            self.push_note(SiteNote::EvacuationInForce { zone, took });
        }
    }
}
