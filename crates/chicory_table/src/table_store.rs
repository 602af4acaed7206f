//! The table with the memory that makes edits safe to resend.

use std::collections::{BTreeSet, VecDeque};

use chicory_types::{EditId, OperatorName, Revision, ServiceName};

use crate::{
    AuditAction, AuditTrail, EditOutcome, Table, TableChange, TableContent, TableEdit,
    TableStoreSnapshot,
};

/// Edits whose outcome is remembered for resends; the oldest go first.
pub const MAX_REMEMBERED_EDITS: usize = 1_024;

/// The table with the memory that makes edits safe to resend.
///
/// An edit wins only against the very revision that it was made for, so of two edits with equal
/// base revisions one is accepted and the other gets a conflict. An edit that was forgotten can't
/// be applied twice either: its base revision is long past.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct TableStore {
    table: Table,
    remembered: VecDeque<RememberedEdit>,
    audit: AuditTrail,
}

/// An edit with the outcome that it had.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RememberedEdit {
    /// The edit.
    pub edit_id: EditId,
    /// Fingerprint of its content.
    pub fingerprint: u64,
    /// Its outcome.
    pub outcome: EditOutcome,
}

impl TableStore {
    /// Restores a store from its snapshot.
    #[must_use]
    pub fn restore(snapshot: TableStoreSnapshot) -> Self {
        Self {
            table: snapshot.table,
            remembered: snapshot.remembered.into(),
            audit: AuditTrail::restore(snapshot.audit, snapshot.last_audit_sequence),
        }
    }

    /// The whole store as plain data.
    #[must_use]
    pub fn snapshot(&self) -> TableStoreSnapshot {
        TableStoreSnapshot {
            table: self.table.clone(),
            remembered: self.remembered.iter().cloned().collect(),
            audit: self.audit.records().cloned().collect(),
            last_audit_sequence: self.audit.last_sequence(),
        }
    }

    /// The table in force.
    #[must_use]
    pub fn table(&self) -> &Table {
        &self.table
    }

    /// The audit trail.
    #[must_use]
    pub fn audit(&self) -> &AuditTrail {
        &self.audit
    }

    /// Appends a record that is no edit of the table.
    pub fn record(&mut self, at_ms: u64, operator: &OperatorName, action: AuditAction) {
        let revision = self.table.revision;
        self.audit
            .append(at_ms, operator, action, revision, revision);
    }

    /// Decides an edit at wall-clock time `at_ms`.
    pub fn apply(&mut self, edit: &TableEdit, at_ms: u64) -> EditOutcome {
        let fingerprint = fingerprint(edit);
        if let Some(known) = self.find(&edit.edit_id) {
            if known.fingerprint == fingerprint {
                return known.outcome.clone();
            }
            return EditOutcome::EditIdReused;
        }
        let outcome = self.decide(edit, at_ms);
        self.remember(edit, fingerprint, &outcome);
        outcome
    }

    fn decide(&mut self, edit: &TableEdit, at_ms: u64) -> EditOutcome {
        let current_revision = self.table.revision;
        if edit.base_revision != current_revision {
            let action = AuditAction::EditRefused;
            self.record(at_ms, &edit.operator, action);
            return EditOutcome::Conflict { current_revision };
        }
        let mut content = TableContent {
            services: self.table.services.clone(),
            overrides: self.table.overrides.clone(),
        };
        for change in &edit.changes {
            content.apply(change);
        }
        let faults = content.faults();
        if !faults.is_empty() {
            return EditOutcome::Invalid(faults);
        }
        self.commit(edit, content, at_ms)
    }

    fn commit(&mut self, edit: &TableEdit, content: TableContent, at_ms: u64) -> EditOutcome {
        let from_revision = self.table.revision;
        let revision = from_revision + 1;
        self.table = Table {
            revision,
            services: content.services,
            overrides: content.overrides,
        };
        let services = touched_services(edit).into_iter().collect();
        let action = AuditAction::TableEdited { services };
        self.audit
            .append(at_ms, &edit.operator, action, from_revision, revision);
        EditOutcome::Accepted { revision }
    }

    fn find(&self, edit_id: &EditId) -> Option<&RememberedEdit> {
        self.remembered.iter().find(|edit| edit.edit_id == *edit_id)
    }

    fn remember(&mut self, edit: &TableEdit, fingerprint: u64, outcome: &EditOutcome) {
        self.remembered.push_back(RememberedEdit {
            edit_id: edit.edit_id.clone(),
            fingerprint,
            outcome: outcome.clone(),
        });
        if self.remembered.len() > MAX_REMEMBERED_EDITS {
            self.remembered.pop_front();
        }
    }

    /// Revision of the table in force.
    #[must_use]
    pub fn revision(&self) -> Revision {
        self.table.revision
    }
}

fn touched_services(edit: &TableEdit) -> BTreeSet<ServiceName> {
    let mut services = BTreeSet::new();
    for change in &edit.changes {
        match change {
            TableChange::PutService { service, .. }
            | TableChange::RemoveService { service }
            | TableChange::PutOverride { service, .. }
            | TableChange::RemoveOverride { service, .. } => {
                services.insert(service.clone());
            }
            TableChange::ReplaceAll(content) => {
                services.extend(content.services.keys().cloned());
            }
        }
    }
    services
}

/// Fingerprint of everything in an edit but its identifier.
///
/// Replicas compare it, so it must not depend on the build: JSON names every field.
fn fingerprint(edit: &TableEdit) -> u64 {
    let content = (edit.base_revision, &edit.operator, &edit.changes);
    // Maps in an edit have text keys, so that it always has a JSON form.
    let text = serde_json::to_string(&content).unwrap_or_default();
    chicory_types::fingerprint_of(&[text.as_bytes()])
}
