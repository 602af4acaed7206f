//! Conversions of table edits, their outcomes and audit records.

use std::collections::BTreeMap;

use chicory_table::{
    AuditAction, AuditRecord, EditOutcome, TableChange, TableContent, TableEdit, TableFault,
};

use crate::convert_error::{enum_value, from_messages, into_messages, narrowed, required};
use crate::proto::common::Empty;
use crate::proto::table::audit_record::Action;
use crate::proto::table::edit_outcome::Outcome;
use crate::proto::table::table_change::Change;
use crate::proto::table::table_fault::Kind;
use crate::record_macro::convert_record;
use crate::{ConvertError, proto::table};

impl From<TableContent> for table::TableContent {
    fn from(content: TableContent) -> Self {
        let services = content.services.into_iter();
        let overrides = content.overrides.into_iter();
        Self {
            services: services
                .map(|(service, policy)| service_row(service, policy))
                .collect(),
            overrides: overrides
                .flat_map(|(service, servers)| override_rows(&service, servers))
                .collect(),
        }
    }
}

fn service_row(service: String, policy: chicory_table::ServicePolicy) -> table::ServiceRow {
    table::ServiceRow {
        service,
        policy: Some(policy.into()),
    }
}

fn override_rows(
    service: &str,
    servers: BTreeMap<String, chicory_table::ServerOverride>,
) -> Vec<table::OverrideRow> {
    let rows = servers
        .into_iter()
        .map(|(server, values)| table::OverrideRow {
            service: service.to_owned(),
            server,
            values: Some(values.into()),
        });
    rows.collect()
}

impl TryFrom<table::TableContent> for TableContent {
    type Error = ConvertError;

    fn try_from(message: table::TableContent) -> Result<Self, ConvertError> {
        let mut content = Self::default();
        for row in message.services {
            let policy = required(row.policy, "service_row.policy")?;
            content.services.insert(row.service, policy.into());
        }
        for row in message.overrides {
            let values = required(row.values, "override_row.values")?;
            let servers = content.overrides.entry(row.service).or_default();
            servers.insert(row.server, values.into());
        }
        Ok(content)
    }
}

impl From<TableChange> for table::TableChange {
    fn from(value: TableChange) -> Self {
        let change = match value {
            TableChange::PutService { service, policy } => {
                Change::PutService(service_row(service, policy))
            }
            TableChange::RemoveService { service } => Change::RemoveService(service),
            TableChange::PutOverride {
                service,
                server,
                values,
            } => Change::PutOverride(table::OverrideRow {
                service,
                server,
                values: Some(values.into()),
            }),
            TableChange::RemoveOverride { service, server } => {
                Change::RemoveOverride(table::OverrideRow {
                    service,
                    server,
                    values: None,
                })
            }
            TableChange::ReplaceAll(content) => Change::ReplaceAll(content.into()),
        };
        Self {
            change: Some(change),
        }
    }
}

impl TryFrom<table::TableChange> for TableChange {
    type Error = ConvertError;

    fn try_from(message: table::TableChange) -> Result<Self, ConvertError> {
        Ok(match required(message.change, "table_change.change")? {
            Change::PutService(row) => Self::PutService {
                policy: required(row.policy, "service_row.policy")?.into(),
                service: row.service,
            },
            Change::RemoveService(service) => Self::RemoveService { service },
            Change::PutOverride(row) => Self::PutOverride {
                values: required(row.values, "override_row.values")?.into(),
                service: row.service,
                server: row.server,
            },
            Change::RemoveOverride(row) => Self::RemoveOverride {
                service: row.service,
                server: row.server,
            },
            Change::ReplaceAll(content) => Self::ReplaceAll(content.try_into()?),
        })
    }
}

convert_record!(
    TableEdit,
    table::TableEdit {
        plain: [edit_id, base_revision, operator],
        nested: [],
        list: [changes],
    }
);

impl From<TableFault> for table::TableFault {
    fn from(fault: TableFault) -> Self {
        let (kind, subject, value) = match fault {
            TableFault::WeightOutOfRange { service, weight } => {
                (Kind::WeightOutOfRange, service, weight.into())
            }
            TableFault::DeadlineOutOfRange {
                service,
                deadline_ms,
            } => (Kind::DeadlineOutOfRange, service, saturated(deadline_ms)),
            TableFault::CustodyLeaseOutOfRange { service, lease_ms } => {
                (Kind::CustodyLeaseOutOfRange, service, saturated(lease_ms))
            }
            TableFault::OrdersNeedUnlimitedCustody { service } => {
                (Kind::OrdersNeedUnlimitedCustody, service, 0)
            }
            TableFault::KeyedOrders { service } => (Kind::KeyedOrders, service, 0),
            TableFault::NoZones { service } => (Kind::NoZones, service, 0),
            TableFault::OverrideWithoutService { service } => {
                (Kind::OverrideWithoutService, service, 0)
            }
            TableFault::BadName { name } => (Kind::BadName, name, 0),
            TableFault::TooManyServices { limit } => {
                (Kind::TooManyServices, String::new(), limit as u64)
            }
            TableFault::TooManyOverrides { limit } => {
                (Kind::TooManyOverrides, String::new(), limit as u64)
            }
        };
        Self {
            kind: kind.into(),
            subject,
            value,
        }
    }
}

/// Narrows a number to 64 bits; larger values become the maximum.
fn saturated(value: u128) -> u64 {
    u64::try_from(value).unwrap_or(u64::MAX)
}

impl TryFrom<table::TableFault> for TableFault {
    type Error = ConvertError;

    /// The meaning of `subject` and `value` depends on the kind of the fault.
    fn try_from(message: table::TableFault) -> Result<Self, ConvertError> {
        let value = message.value;
        let service = message.subject;
        Ok(match enum_value(message.kind, "table_fault.kind")? {
            Kind::WeightOutOfRange => Self::WeightOutOfRange {
                service,
                weight: narrowed(value, "table_fault.value")?,
            },
            Kind::DeadlineOutOfRange => Self::DeadlineOutOfRange {
                service,
                deadline_ms: value.into(),
            },
            Kind::CustodyLeaseOutOfRange => Self::CustodyLeaseOutOfRange {
                service,
                lease_ms: value.into(),
            },
            Kind::OrdersNeedUnlimitedCustody => Self::OrdersNeedUnlimitedCustody { service },
            Kind::KeyedOrders => Self::KeyedOrders { service },
            Kind::NoZones => Self::NoZones { service },
            Kind::OverrideWithoutService => Self::OverrideWithoutService { service },
            Kind::BadName => Self::BadName { name: service },
            Kind::TooManyServices => Self::TooManyServices {
                limit: narrowed(value, "table_fault.value")?,
            },
            Kind::TooManyOverrides => Self::TooManyOverrides {
                limit: narrowed(value, "table_fault.value")?,
            },
        })
    }
}

impl From<EditOutcome> for table::EditOutcome {
    fn from(value: EditOutcome) -> Self {
        let outcome = match value {
            EditOutcome::Accepted { revision } => Outcome::AcceptedRevision(revision),
            EditOutcome::Conflict { current_revision } => {
                Outcome::ConflictRevision(current_revision)
            }
            EditOutcome::Invalid(faults) => Outcome::Invalid(table::TableFaults {
                faults: into_messages(faults),
            }),
            EditOutcome::EditIdReused => Outcome::EditIdReused(Empty {}),
        };
        Self {
            outcome: Some(outcome),
        }
    }
}

impl TryFrom<table::EditOutcome> for EditOutcome {
    type Error = ConvertError;

    fn try_from(message: table::EditOutcome) -> Result<Self, ConvertError> {
        Ok(match required(message.outcome, "edit_outcome.outcome")? {
            Outcome::AcceptedRevision(revision) => Self::Accepted { revision },
            Outcome::ConflictRevision(current_revision) => Self::Conflict { current_revision },
            Outcome::Invalid(invalid) => Self::Invalid(from_messages(invalid.faults)?),
            Outcome::EditIdReused(Empty {}) => Self::EditIdReused,
        })
    }
}

impl From<AuditAction> for Action {
    fn from(action: AuditAction) -> Self {
        match action {
            AuditAction::TableEdited { services } => {
                Self::TableEdited(table::EditedServices { services })
            }
            AuditAction::EditRefused => Self::EditRefused(Empty {}),
            AuditAction::ZoneEvicted { zone } => Self::ZoneEvicted(zone),
            AuditAction::ZoneReformed { zone } => Self::ZoneReformed(zone),
            AuditAction::CustodyMoveRequested { service, to_zone } => {
                Self::CustodyMoveRequested(table::CustodyMoveRequested { service, to_zone })
            }
        }
    }
}

impl From<Action> for AuditAction {
    fn from(action: Action) -> Self {
        match action {
            Action::TableEdited(edited) => Self::TableEdited {
                services: edited.services,
            },
            Action::EditRefused(Empty {}) => Self::EditRefused,
            Action::ZoneEvicted(zone) => Self::ZoneEvicted { zone },
            Action::ZoneReformed(zone) => Self::ZoneReformed { zone },
            Action::CustodyMoveRequested(moved) => Self::CustodyMoveRequested {
                service: moved.service,
                to_zone: moved.to_zone,
            },
        }
    }
}

convert_record!(
    AuditRecord,
    table::AuditRecord {
        plain: [sequence, at_ms, operator, from_revision, to_revision],
        nested: [action],
        list: [],
    }
);
