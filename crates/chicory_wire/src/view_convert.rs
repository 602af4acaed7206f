//! Conversions of the changes and updates of an entry process's view of its zone.

use chicory_ownership::{SlotOwner, ViewChange, ViewUpdate};

use crate::convert_error::{OutOfRangeSnafu, from_messages, into_messages, required};
use crate::proto::common::Empty;
use crate::proto::view::slots_assigned::Ownership;
use crate::proto::view::view_change::Change;
use crate::{ConvertError, proto::view};

impl From<ViewChange> for view::ViewChange {
    fn from(value: ViewChange) -> Self {
        let change = match value {
            ViewChange::Reset => Change::Reset(Empty {}),
            ViewChange::TableInForce(table) => Change::TableInForce(table.into()),
            ViewChange::ServerUpserted(record) => Change::ServerUpserted(record.into()),
            ViewChange::ServerRemoved(server) => Change::ServerRemoved(server),
            ViewChange::DispatcherAssigned { server, vm, epoch } => {
                Change::DispatcherAssigned(view::DispatcherAssigned { server, vm, epoch })
            }
            ViewChange::SlotsAssigned {
                service,
                runs,
                owner,
            } => Change::SlotsAssigned(slots_assigned(service, into_messages(runs), owner)),
            ViewChange::CustodyAssigned {
                service,
                runs,
                zone,
                generation,
            } => Change::CustodyAssigned(view::CustodyAssigned {
                service,
                runs: into_messages(runs),
                zone,
                generation,
            }),
            ViewChange::ZoneEntries { zone, entries } => Change::ZoneEntries(view::ZoneEntries {
                zone,
                entries: into_messages(entries),
            }),
            ViewChange::Quarantined { fingerprint } => Change::Quarantined(fingerprint),
            ViewChange::QuarantineLifted { fingerprint } => Change::QuarantineLifted(fingerprint),
        };
        Self {
            change: Some(change),
        }
    }
}

fn slots_assigned(
    service: String,
    runs: Vec<crate::proto::common::SlotRun>,
    owner: SlotOwner,
) -> view::SlotsAssigned {
    let (ownership, server, token) = match owner {
        SlotOwner::Unowned => (Ownership::Unowned, String::new(), None),
        SlotOwner::Owned { server, token } => (Ownership::Owned, server, Some(token.into())),
        SlotOwner::Releasing { server, token } => {
            (Ownership::Releasing, server, Some(token.into()))
        }
    };
    view::SlotsAssigned {
        service,
        runs,
        ownership: ownership.into(),
        server,
        token,
    }
}

impl TryFrom<view::ViewChange> for ViewChange {
    type Error = ConvertError;

    fn try_from(message: view::ViewChange) -> Result<Self, ConvertError> {
        Ok(match required(message.change, "view_change.change")? {
            Change::Reset(Empty {}) => Self::Reset,
            Change::TableInForce(table) => Self::TableInForce(table.try_into()?),
            Change::ServerUpserted(record) => Self::ServerUpserted(record.try_into()?),
            Change::ServerRemoved(server) => Self::ServerRemoved(server),
            Change::DispatcherAssigned(assigned) => Self::DispatcherAssigned {
                server: assigned.server,
                vm: assigned.vm,
                epoch: assigned.epoch,
            },
            Change::SlotsAssigned(assigned) => Self::SlotsAssigned {
                owner: slot_owner(&assigned)?,
                service: assigned.service,
                runs: from_messages(assigned.runs)?,
            },
            Change::CustodyAssigned(assigned) => Self::CustodyAssigned {
                service: assigned.service,
                runs: from_messages(assigned.runs)?,
                zone: assigned.zone,
                generation: assigned.generation,
            },
            Change::ZoneEntries(directory) => Self::ZoneEntries {
                zone: directory.zone,
                entries: from_messages(directory.entries)?,
            },
            Change::Quarantined(fingerprint) => Self::Quarantined { fingerprint },
            Change::QuarantineLifted(fingerprint) => Self::QuarantineLifted { fingerprint },
        })
    }
}

fn slot_owner(assigned: &view::SlotsAssigned) -> Result<SlotOwner, ConvertError> {
    let server = assigned.server.clone();
    let token = assigned.token.map(Into::into);
    match Ownership::try_from(assigned.ownership) {
        Ok(Ownership::Unowned) => Ok(SlotOwner::Unowned),
        Ok(Ownership::Owned) => Ok(SlotOwner::Owned {
            server,
            token: required(token, "slots_assigned.token")?,
        }),
        Ok(Ownership::Releasing) => Ok(SlotOwner::Releasing {
            server,
            token: required(token, "slots_assigned.token")?,
        }),
        Err(_) => OutOfRangeSnafu {
            field: "slots_assigned.ownership",
        }
        .fail(),
    }
}

impl From<ViewUpdate> for view::ViewUpdate {
    fn from(update: ViewUpdate) -> Self {
        Self {
            version: update.version,
            changes: into_messages(update.changes),
        }
    }
}

impl TryFrom<view::ViewUpdate> for ViewUpdate {
    type Error = ConvertError;

    fn try_from(message: view::ViewUpdate) -> Result<Self, ConvertError> {
        Ok(Self {
            version: message.version,
            changes: from_messages(message.changes)?,
        })
    }
}
