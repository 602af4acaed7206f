//! Snapshots of the table store.

use crate::{AuditRecord, RememberedEdit, Table};

/// The table store as plain data, for snapshots of the replicated log.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct TableStoreSnapshot {
    /// The table in force.
    pub table: Table,
    /// Edits whose outcome is remembered, oldest first.
    pub remembered: Vec<RememberedEdit>,
    /// Retained audit records, oldest first.
    pub audit: Vec<AuditRecord>,
    /// Number of the newest audit record, 0 for none.
    pub last_audit_sequence: u64,
}
