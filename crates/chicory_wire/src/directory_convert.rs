//! Conversions of backend servers, key ranges, replicated commands and snapshots.

use std::time::Duration;

use chicory_directory::{
    DirectoryUpdate, RemovalCause, ServerRecord, ServerRemoval, ServerState, ServiceRanges,
    SiteCommand, SiteState, Versioned,
};
use chicory_ranges::{KeyRange, OwnedRange, RangeMove, RangeRegistry, ServerIncarnation};

use crate::ConvertError;
use crate::convert_error::{enum_value, from_messages, into_messages, narrowed, required};
use crate::proto::site::{self, site_command::Command};
use crate::record_macro::{convert_enum, convert_record};
use crate::routes_convert::micros;

convert_enum!(ServerState, site::ServerState, [Ready, Draining]);
convert_enum!(RemovalCause, site::RemovalCause, [Left, Replaced, Silent]);
convert_record!(
    ServerIncarnation,
    site::ServerLife {
        plain: [server, started_at_ms],
        nested: [],
        list: [],
    }
);
convert_record!(
    ServiceRanges,
    site::ServiceRanges {
        plain: [service],
        nested: [],
        list: [ranges],
    }
);

impl From<ServerRecord> for site::ServerRecord {
    fn from(record: ServerRecord) -> Self {
        Self {
            life: Some(record.incarnation.into()),
            service: record.service,
            address: record.address.to_string(),
            zone: record.zone,
            software_version: record.software_version,
            slots: record.slots,
            state: site::ServerState::from(record.state).into(),
            cold_for_us: micros(record.cold_for),
        }
    }
}

impl TryFrom<site::ServerRecord> for ServerRecord {
    type Error = ConvertError;

    fn try_from(message: site::ServerRecord) -> Result<Self, ConvertError> {
        let state: site::ServerState = enum_value(message.state, "server.state")?;
        let address = message.address.parse();
        Ok(Self {
            incarnation: required(message.life, "server.life")?.try_into()?,
            service: message.service,
            address: address.map_err(|_| ConvertError::OutOfRange {
                field: "server.address",
            })?,
            zone: message.zone,
            software_version: message.software_version,
            slots: message.slots,
            state: state.into(),
            cold_for: Duration::from_micros(message.cold_for_us),
        })
    }
}

impl From<ServerRemoval> for site::ServerRemoval {
    fn from(removal: ServerRemoval) -> Self {
        Self {
            life: Some(removal.incarnation.into()),
            cause: site::RemovalCause::from(removal.cause).into(),
        }
    }
}

impl TryFrom<site::ServerRemoval> for ServerRemoval {
    type Error = ConvertError;

    fn try_from(message: site::ServerRemoval) -> Result<Self, ConvertError> {
        let cause: site::RemovalCause = enum_value(message.cause, "removal.cause")?;
        Ok(Self {
            incarnation: required(message.life, "removal.life")?.try_into()?,
            cause: cause.into(),
        })
    }
}

impl From<OwnedRange> for site::OwnedRange {
    fn from(owned: OwnedRange) -> Self {
        Self {
            first: owned.range.first.into(),
            last: owned.range.last.into(),
            owner: Some(owned.owner.into()),
            fence: owned.fence,
            handover: owned.handover,
        }
    }
}

impl TryFrom<site::OwnedRange> for OwnedRange {
    type Error = ConvertError;

    fn try_from(message: site::OwnedRange) -> Result<Self, ConvertError> {
        Ok(Self {
            range: key_range(message.first, message.last)?,
            owner: required(message.owner, "range.owner")?.try_into()?,
            fence: message.fence,
            handover: message.handover,
        })
    }
}

/// Converts the bounds of a key range and checks their order.
pub(crate) fn key_range(first: u32, last: u32) -> Result<KeyRange, ConvertError> {
    let range = KeyRange {
        first: narrowed(first, "range.first")?,
        last: narrowed(last, "range.last")?,
    };
    if range.first > range.last {
        let field = "range.last";
        return Err(ConvertError::OutOfRange { field });
    }
    Ok(range)
}

impl From<RangeMove> for site::RangeMove {
    fn from(change: RangeMove) -> Self {
        Self {
            service: change.service,
            first: change.range.first.into(),
            last: change.range.last.into(),
            from: change.from.map(Into::into),
            to: Some(change.to.into()),
            handover: change.handover,
        }
    }
}

impl TryFrom<site::RangeMove> for RangeMove {
    type Error = ConvertError;

    fn try_from(message: site::RangeMove) -> Result<Self, ConvertError> {
        Ok(Self {
            service: message.service,
            range: key_range(message.first, message.last)?,
            from: message.from.map(TryInto::try_into).transpose()?,
            to: required(message.to, "move.to")?.try_into()?,
            handover: message.handover,
        })
    }
}

impl From<SiteCommand> for site::SiteCommand {
    fn from(command: SiteCommand) -> Self {
        let command = match command {
            SiteCommand::PutRoutes(table) => Command::PutRoutes(table.into()),
            SiteCommand::PutServer(record) => Command::PutServer(record.into()),
            SiteCommand::RemoveServer(removal) => Command::RemoveServer(removal.into()),
            SiteCommand::MoveRange(change) => Command::MoveRange(change.into()),
            SiteCommand::BeginEvacuation(zone) => Command::BeginEvacuation(zone),
            SiteCommand::FinishEvacuation(zone) => Command::FinishEvacuation(zone),
        };
        Self {
            command: Some(command),
        }
    }
}

impl TryFrom<site::SiteCommand> for SiteCommand {
    type Error = ConvertError;

    fn try_from(message: site::SiteCommand) -> Result<Self, ConvertError> {
        Ok(match required(message.command, "site_command.command")? {
            Command::PutRoutes(table) => Self::PutRoutes(table.try_into()?),
            Command::PutServer(record) => Self::PutServer(record.try_into()?),
            Command::RemoveServer(removal) => Self::RemoveServer(removal.try_into()?),
            Command::MoveRange(change) => Self::MoveRange(change.try_into()?),
            Command::BeginEvacuation(zone) => Self::BeginEvacuation(zone),
            Command::FinishEvacuation(zone) => Self::FinishEvacuation(zone),
        })
    }
}

impl From<DirectoryUpdate> for site::DirectoryUpdate {
    fn from(update: DirectoryUpdate) -> Self {
        Self {
            version: update.version,
            last_fence: update.last_fence,
            is_full: update.is_full,
            routes: update.routes.map(Into::into),
            servers: into_messages(update.servers),
            removed: into_messages(update.removed),
            ranges: into_messages(update.ranges),
            evacuations: update.evacuated_zones.map(|zones| site::Evacuations {
                zones: zones.into_iter().collect(),
            }),
        }
    }
}

impl TryFrom<site::DirectoryUpdate> for DirectoryUpdate {
    type Error = ConvertError;

    fn try_from(message: site::DirectoryUpdate) -> Result<Self, ConvertError> {
        Ok(Self {
            version: message.version,
            last_fence: message.last_fence,
            is_full: message.is_full,
            routes: message.routes.map(TryInto::try_into).transpose()?,
            servers: from_messages(message.servers)?,
            removed: from_messages(message.removed)?,
            ranges: from_messages(message.ranges)?,
            evacuated_zones: message
                .evacuations
                .map(|evacuations| evacuations.zones.into_iter().collect()),
        })
    }
}

impl From<&SiteState> for site::SiteSnapshot {
    fn from(state: &SiteState) -> Self {
        let servers = state.versioned_servers().map(|server| site::StoredServer {
            record: Some(server.value.clone().into()),
            changed_at: server.changed_at,
        });
        let removals = state.removals().map(|removal| site::StoredRemoval {
            removal: Some(removal.value.clone().into()),
            changed_at: removal.changed_at,
        });
        let ranges = state
            .registry()
            .services()
            .map(|service| site::ServiceRanges {
                service: service.clone(),
                ranges: into_messages(state.registry().ranges(service).cloned().collect()),
            });
        Self {
            version: state.version(),
            routes: Some((**state.routes()).clone().into()),
            routes_changed_at: state.routes_changed_at(),
            servers: servers.collect(),
            removals: removals.collect(),
            ranges: ranges.collect(),
            last_fence: state.registry().last_fence(),
            forgotten_up_to: state.forgotten_up_to(),
            evacuated_zones: state.evacuated_zones().iter().cloned().collect(),
            evacuations_changed_at: state.evacuations_changed_at(),
        }
    }
}

impl TryFrom<site::StoredServer> for Versioned<ServerRecord> {
    type Error = ConvertError;

    fn try_from(message: site::StoredServer) -> Result<Self, ConvertError> {
        Ok(Self {
            value: required(message.record, "stored_server.record")?.try_into()?,
            changed_at: message.changed_at,
        })
    }
}

impl TryFrom<site::StoredRemoval> for Versioned<ServerRemoval> {
    type Error = ConvertError;

    fn try_from(message: site::StoredRemoval) -> Result<Self, ConvertError> {
        Ok(Self {
            value: required(message.removal, "stored_removal.removal")?.try_into()?,
            changed_at: message.changed_at,
        })
    }
}

impl TryFrom<site::SiteSnapshot> for SiteState {
    type Error = ConvertError;

    fn try_from(message: site::SiteSnapshot) -> Result<Self, ConvertError> {
        let mut ranges = Vec::new();
        for service_ranges in message.ranges {
            let service_ranges = ServiceRanges::try_from(service_ranges)?;
            let service = service_ranges.service;
            let owned = service_ranges.ranges.into_iter();
            ranges.extend(owned.map(|owned| (service.clone(), owned)));
        }
        let routes = Versioned {
            value: required(message.routes, "site_snapshot.routes")?.try_into()?,
            changed_at: message.routes_changed_at,
        };
        let evacuated_zones = Versioned {
            value: message.evacuated_zones.into_iter().collect(),
            changed_at: message.evacuations_changed_at,
        };
        let state = Self::restore(
            message.version,
            routes,
            from_messages(message.servers)?,
            from_messages(message.removals)?,
            RangeRegistry::restore(message.last_fence, ranges),
            message.forgotten_up_to,
        );
        Ok(state.with_evacuated_zones(evacuated_zones))
    }
}
