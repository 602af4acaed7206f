//! An operator's edit of the table.

use chicory_types::{EditId, OperatorName, Revision, ServerId, ServiceName};
use serde::{Deserialize, Serialize};

use crate::{ServerOverride, ServicePolicy, TableContent};

/// One change of an edit.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum TableChange {
    /// Creates a service or replaces its policy.
    PutService {
        /// The service.
        service: ServiceName,
        /// Its policy.
        policy: ServicePolicy,
    },
    /// Removes a service with all its overrides.
    RemoveService {
        /// The service.
        service: ServiceName,
    },
    /// Creates or replaces the overrides for one backend server.
    PutOverride {
        /// The service.
        service: ServiceName,
        /// The backend server.
        server: ServerId,
        /// The overrides.
        values: ServerOverride,
    },
    /// Removes the overrides for one backend server.
    RemoveOverride {
        /// The service.
        service: ServiceName,
        /// The backend server.
        server: ServerId,
    },
    /// Replaces the whole table, as an import does.
    ReplaceAll(TableContent),
}

/// An operator's changes of the table, which are applied together or not at all.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TableEdit {
    /// Identifier of the edit; a resend of the edit has the same one.
    pub edit_id: EditId,
    /// Revision that the operator saw. If the table is at any other revision, the edit is a
    /// conflict.
    pub base_revision: Revision,
    /// The operator who edits the table.
    pub operator: OperatorName,
    /// The changes, applied in order.
    pub changes: Vec<TableChange>,
}
