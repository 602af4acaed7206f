//! The table of weights and limits, its edits and its audit records.
//!
//! Operators state what they want as rows of a table; this crate holds the rows, checks them, and
//! decides which edit wins. It is a plain state machine: the replicated log applies edits to it.

mod custody_lease;
mod server_override;
mod service_policy;
mod table;

pub use custody_lease::CustodyLease;
pub use server_override::ServerOverride;
pub use service_policy::ServicePolicy;
pub use table::Table;
