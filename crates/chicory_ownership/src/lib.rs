//! Custody, slot assignment, placement, leases and order claims as state machines.
//!
//! Two tiers decide who owns a slot. The global group gives an availability zone *custody* of
//! slots; the zone group of that zone assigns each of its slots to a backend server and names the
//! entry VM that dispatches to the server. Leases nest: a server's lease ends before its
//! dispatcher's, and that one before the zone's custody lease.

mod claim;
mod renewal;
mod server_record;
mod view_change;

pub use claim::{ClaimAnswer, ClaimRequest, ClaimResolution, Claimant, StoredAnswer};
pub use renewal::{
    ReleasedSlots, RenewAnswer, RenewRefusal, RenewRequest, ServerCondition, ServerReport,
    SlotHeat, ViewUpdate,
};
pub use server_record::{EntryRecord, ServerRecord};
pub use view_change::{SlotOwner, ViewChange};
