//! The table and the outcomes of recent edits, which make it safe to resend an edit.

use std::collections::{BTreeSet, VecDeque};

use chicory_types::{EditId, OperatorName, Revision, ServiceName};

use crate::{
    AuditAction, AuditTrail, EditOutcome, Table, TableChange, TableContent, TableEdit,
    TableStoreSnapshot,
};

/// Number of edits whose outcome is remembered for resends; the oldest ones are dropped first.
pub const MAX_REMEMBERED_EDITS: usize = 1_024;

/// The table and the outcomes of recent edits, which make it safe to resend an edit.
///
/// An edit is accepted only if the table is still at the edit's base revision. Of two edits with
/// the same base revision, at most one is accepted, and the other one gets a conflict. This also
/// prevents an edit whose outcome is no longer remembered from being applied twice, because the
/// table has long left its base revision.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct TableStore {
    table: Table,
    remembered: VecDeque<RememberedEdit>,
    audit: AuditTrail,
}

/// The outcome of a former edit.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RememberedEdit {
    /// Identifier of the edit.
    pub edit_id: EditId,
    /// Fingerprint of the edit's content.
    pub fingerprint: u64,
    /// Outcome of the edit.
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

    /// Returns the whole store as plain data.
    #[must_use]
    pub fn snapshot(&self) -> TableStoreSnapshot {
        TableStoreSnapshot {
            table: self.table.clone(),
            remembered: self.remembered.iter().cloned().collect(),
            audit: self.audit.records().cloned().collect(),
            last_audit_sequence: self.audit.last_sequence(),
        }
    }

    /// Returns the table in force.
    #[must_use]
    pub fn table(&self) -> &Table {
        &self.table
    }

    /// Returns the audit trail.
    #[must_use]
    pub fn audit(&self) -> &AuditTrail {
        &self.audit
    }

    /// Appends an audit record of an action that doesn't change the table.
    pub fn record(&mut self, at_ms: u64, operator: &OperatorName, action: AuditAction) {
        let revision = self.table.revision;
        self.audit
            .append(at_ms, operator, action, revision, revision);
    }

    /// Applies an edit if it is valid, and returns its outcome. A resend of a remembered edit
    /// returns the outcome of that edit and changes nothing.
    ///
    /// `at_ms` is the wall-clock time for the audit trail, in milliseconds since the Unix epoch.
    pub fn apply(&mut self, edit: &TableEdit, at_ms: u64) -> EditOutcome {
        let fingerprint = fingerprint(edit);
        if let Some(known) = self.find_remembered(&edit.edit_id) {
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
        let services = changed_services(edit).into_iter().collect();
        let action = AuditAction::TableEdited { services };
        self.audit
            .append(at_ms, &edit.operator, action, from_revision, revision);
        EditOutcome::Accepted { revision }
    }

    fn find_remembered(&self, edit_id: &EditId) -> Option<&RememberedEdit> {
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

    /// Returns the revision of the table in force.
    #[must_use]
    pub fn revision(&self) -> Revision {
        self.table.revision
    }
}

fn changed_services(edit: &TableEdit) -> BTreeSet<ServiceName> {
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

/// Returns a fingerprint of everything in an edit except its identifier.
///
/// Replicas compare fingerprints, so a fingerprint must not depend on the build. It is computed
/// from the edit as JSON, which names every field.
fn fingerprint(edit: &TableEdit) -> u64 {
    let content = (edit.base_revision, &edit.operator, &edit.changes);
    // Serialization never fails, because all maps in an edit have string keys.
    let text = serde_json::to_string(&content).unwrap_or_default();
    chicory_types::fingerprint_of(&[text.as_bytes()])
}
