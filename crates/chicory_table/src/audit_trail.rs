//! The bounded audit trail.

use std::collections::VecDeque;

use chicory_types::{OperatorName, Revision};

use crate::{AuditAction, AuditRecord};

/// Number of records that the trail retains; the oldest ones are dropped first.
pub const AUDIT_RETENTION_RECORDS: usize = 4_096;

/// The trail of the last [`AUDIT_RETENTION_RECORDS`] audit records.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct AuditTrail {
    records: VecDeque<AuditRecord>,
    last_sequence: u64,
}

impl AuditTrail {
    /// Restores a trail from its records, oldest first.
    #[must_use]
    pub fn restore(records: Vec<AuditRecord>, last_sequence: u64) -> Self {
        Self {
            records: records.into(),
            last_sequence,
        }
    }

    /// Appends a record and gives it the next number.
    pub fn append(
        &mut self,
        at_ms: u64,
        operator: &OperatorName,
        action: AuditAction,
        from_revision: Revision,
        to_revision: Revision,
    ) {
        self.last_sequence += 1;
        self.records.push_back(AuditRecord {
            sequence: self.last_sequence,
            at_ms,
            operator: operator.clone(),
            action,
            from_revision,
            to_revision,
        });
        if self.records.len() > AUDIT_RETENTION_RECORDS {
            self.records.pop_front();
        }
    }

    /// Returns the records that match `query`, oldest first.
    #[must_use]
    pub fn query(&self, query: &AuditQuery) -> Vec<AuditRecord> {
        let matching = self.records.iter().filter(|record| query.matches(record));
        matching.take(query.limit).cloned().collect()
    }

    /// Returns all retained records, oldest first.
    pub fn records(&self) -> impl Iterator<Item = &AuditRecord> {
        self.records.iter()
    }

    /// Returns the number of the newest record, 0 for none.
    #[must_use]
    pub fn last_sequence(&self) -> u64 {
        self.last_sequence
    }
}

/// A query for audit records.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AuditQuery {
    /// Number of the first record to return.
    pub from_sequence: u64,
    /// Returns only records of this operator; `None` for those of all operators.
    pub operator: Option<OperatorName>,
    /// Maximum number of records to return.
    pub limit: usize,
}

impl AuditQuery {
    fn matches(&self, record: &AuditRecord) -> bool {
        let is_of_record = |operator: &OperatorName| *operator == record.operator;
        record.sequence >= self.from_sequence && self.operator.as_ref().is_none_or(is_of_record)
    }
}
