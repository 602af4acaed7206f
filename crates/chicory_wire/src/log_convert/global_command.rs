//! Conversions of the commands of the global group.

use chicory_ownership::GlobalCommand;

use crate::convert_error::{enum_value, from_messages, into_messages, required};
use crate::proto::custody::CustodyCause;
use crate::proto::log::global_entry::Entry;
use crate::{ConvertError, proto::log};

impl From<GlobalCommand> for Entry {
    fn from(command: GlobalCommand) -> Self {
        match command {
            GlobalCommand::EditTable { edit, at_ms } => Self::EditTable(log::EditTable {
                edit: Some(edit.into()),
                at_ms,
            }),
            GlobalCommand::RegisterZone {
                zone,
                group_epoch,
                at_ms,
            } => Self::RegisterZone(log::RegisterZone {
                zone,
                group_epoch,
                at_ms,
            }),
            GlobalCommand::ReportInForce { zone, revision } => {
                Self::ReportInForce(log::ReportInForce { zone, revision })
            }
            GlobalCommand::AssignCustody {
                service,
                runs,
                from_zone,
                to_zone,
                cause,
            } => Self::AssignCustody(log::AssignCustody {
                service,
                runs: into_messages(runs),
                from_zone,
                to_zone,
                cause: CustodyCause::from(cause).into(),
            }),
            GlobalCommand::RequestCustodyMove {
                service,
                runs,
                from_zone,
                to_zone,
            } => Self::RequestCustodyMove(log::RequestCustodyMove {
                service,
                runs: into_messages(runs),
                from_zone,
                to_zone,
            }),
            GlobalCommand::ReleaseCustody { zone, release } => {
                Self::ReleaseCustody(log::ReleaseCustody {
                    zone,
                    release: Some(release.into()),
                })
            }
            GlobalCommand::DropHandovers { zone, version } => {
                Self::DropHandovers(log::DropHandovers { zone, version })
            }
            GlobalCommand::EvictZone {
                zone,
                operator,
                edit_id,
                at_ms,
            } => Self::EvictZone(log::EvictZone {
                zone,
                operator,
                edit_id,
                at_ms,
            }),
            GlobalCommand::ReadmitZone { zone } => Self::ReadmitZone(zone),
        }
    }
}

impl TryFrom<Entry> for GlobalCommand {
    type Error = ConvertError;

    /// Rejects the formation of a zone group as out of range, because it isn't a command on the
    /// table or on custody.
    fn try_from(entry: Entry) -> Result<Self, ConvertError> {
        Ok(match entry {
            Entry::EditTable(message) => Self::EditTable {
                edit: required(message.edit, "edit_table.edit")?.try_into()?,
                at_ms: message.at_ms,
            },
            Entry::RegisterZone(message) => Self::RegisterZone {
                zone: message.zone,
                group_epoch: message.group_epoch,
                at_ms: message.at_ms,
            },
            Entry::ReportInForce(message) => Self::ReportInForce {
                zone: message.zone,
                revision: message.revision,
            },
            Entry::AssignCustody(message) => Self::AssignCustody {
                service: message.service,
                runs: from_messages(message.runs)?,
                from_zone: message.from_zone,
                to_zone: message.to_zone,
                cause: enum_value::<CustodyCause>(message.cause, "assign_custody.cause")?.into(),
            },
            Entry::RequestCustodyMove(message) => Self::RequestCustodyMove {
                service: message.service,
                runs: from_messages(message.runs)?,
                from_zone: message.from_zone,
                to_zone: message.to_zone,
            },
            Entry::ReleaseCustody(message) => Self::ReleaseCustody {
                zone: message.zone,
                release: required(message.release, "release_custody.release")?.try_into()?,
            },
            Entry::DropHandovers(message) => Self::DropHandovers {
                zone: message.zone,
                version: message.version,
            },
            Entry::EvictZone(message) => Self::EvictZone {
                zone: message.zone,
                operator: message.operator,
                edit_id: message.edit_id,
                at_ms: message.at_ms,
            },
            Entry::ReadmitZone(zone) => Self::ReadmitZone { zone },
            Entry::FormZone(_) => {
                return crate::convert_error::OutOfRangeSnafu {
                    field: "global_entry.entry",
                }
                .fail();
            }
        })
    }
}
