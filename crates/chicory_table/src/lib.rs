//! The table of weights and limits, its edits and its audit records.
//!
//! Operators configure services and backend servers in the rows of a table. This crate stores the
//! rows, validates them, and decides which of several concurrent edits is accepted. It is a state
//! machine without I/O, to which the replicated log applies the edits.

mod audit_record;
mod audit_trail;
mod csv_column;
mod csv_fault;
mod csv_row;
mod custody_lease;
mod edit_outcome;
mod server_override;
mod service_policy;
mod table;
mod table_content;
mod table_csv;
mod table_edit;
mod table_fault;
mod table_store;
mod table_store_snapshot;

pub use audit_record::{AuditAction, AuditRecord};
pub use audit_trail::{AUDIT_RETENTION_RECORDS, AuditQuery, AuditTrail};
pub use csv_fault::CsvFault;
pub use custody_lease::CustodyLease;
pub use edit_outcome::EditOutcome;
pub use server_override::ServerOverride;
pub use service_policy::ServicePolicy;
pub use table::Table;
pub use table_content::{
    MAX_CUSTODY_LEASE_MS, MAX_DEADLINE_MS, MAX_NAME_BYTES, MAX_OVERRIDES, MAX_SERVICES, MAX_WEIGHT,
    MIN_CUSTODY_LEASE_MS, MIN_DEADLINE_MS, TableContent,
};
pub use table_csv::{WHOLE_SERVICE, parse_csv, to_csv};
pub use table_edit::{TableChange, TableEdit};
pub use table_fault::TableFault;
pub use table_store::{MAX_REMEMBERED_EDITS, RememberedEdit, TableStore};
pub use table_store_snapshot::TableStoreSnapshot;
