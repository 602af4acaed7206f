//! An operator's edit of the table.

use chicory_types::{EditId, OperatorName, Revision, ServerId, ServiceName};
use serde::{Deserialize, Serialize};

use crate::{ServerOverride, ServicePolicy, TableContent};

/// One change inside an edit.
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
    /// Creates or replaces the exceptions for one backend server.
    PutOverride {
        /// The service.
        service: ServiceName,
        /// The backend server.
        server: ServerId,
        /// Its exceptions.
        values: ServerOverride,
    },
    /// Removes the exceptions for one backend server.
    RemoveOverride {
        /// The service.
        service: ServiceName,
        /// The backend server.
        server: ServerId,
    },
    /// Replaces the whole table, as an import does.
    ReplaceAll(TableContent),
}

/// Changes that an operator wants to apply together or not at all.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TableEdit {
    /// Identifier of the edit; a resend carries the same one.
    pub edit_id: EditId,
    /// Revision that the operator saw; an edit of any other revision is a conflict.
    pub base_revision: Revision,
    /// Who edits.
    pub operator: OperatorName,
    /// The changes, applied in order.
    pub changes: Vec<TableChange>,
}
