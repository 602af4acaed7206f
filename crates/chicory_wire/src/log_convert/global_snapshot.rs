//! Conversions of the snapshot of the global group.

use chicory_ownership::{GlobalSnapshot, LeaseChange, ZoneStatus};
use chicory_table::{RememberedEdit, TableStoreSnapshot};

use crate::convert_error::{from_messages, into_messages, required};
use crate::record_macro::convert_record;
use crate::{ConvertError, proto::log};

convert_record!(
    LeaseChange,
    log::LeaseChange {
        plain: [service, revision],
        nested: [],
        list: [],
    }
);

convert_record!(
    RememberedEdit,
    log::RememberedEdit {
        plain: [edit_id, fingerprint],
        nested: [outcome],
        list: [],
    }
);

convert_record!(
    TableStoreSnapshot,
    log::TableStoreSnapshot {
        plain: [last_audit_sequence],
        nested: [table],
        list: [remembered, audit],
    }
);

fn zone_status((zone, status): (String, ZoneStatus)) -> log::ZoneStatus {
    log::ZoneStatus {
        zone,
        group_epoch: status.group_epoch,
        in_force_revision: status.in_force_revision,
        is_evicted: status.is_evicted,
    }
}

impl From<GlobalSnapshot> for log::GlobalSnapshot {
    fn from(snapshot: GlobalSnapshot) -> Self {
        Self {
            applied: snapshot.applied,
            store: Some(snapshot.store.into()),
            lease_changes: into_messages(snapshot.lease_changes),
            zones: snapshot.zones.into_iter().map(zone_status).collect(),
            custody: into_messages(snapshot.custody),
            custody_version: snapshot.custody_version,
            last_generation: snapshot.last_generation,
            handovers: into_messages(snapshot.handovers),
            evictions: snapshot.evictions,
        }
    }
}

impl TryFrom<log::GlobalSnapshot> for GlobalSnapshot {
    type Error = ConvertError;

    fn try_from(message: log::GlobalSnapshot) -> Result<Self, ConvertError> {
        let zones = message.zones.into_iter().map(|zone| {
            let status = ZoneStatus {
                group_epoch: zone.group_epoch,
                in_force_revision: zone.in_force_revision,
                is_evicted: zone.is_evicted,
            };
            (zone.zone, status)
        });
        Ok(Self {
            applied: message.applied,
            store: required(message.store, "global_snapshot.store")?.try_into()?,
            lease_changes: from_messages(message.lease_changes)?,
            zones: zones.collect(),
            custody: from_messages(message.custody)?,
            custody_version: message.custody_version,
            last_generation: message.last_generation,
            handovers: from_messages(message.handovers)?,
            evictions: message.evictions,
        })
    }
}
