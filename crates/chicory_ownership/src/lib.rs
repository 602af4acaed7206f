//! Custody, slot assignment, placement, leases and order claims as state machines.
//!
//! Two tiers decide which backend server owns a slot. The global group assigns *custody* of slots
//! to availability zones. The group of a zone assigns each slot in its custody to a backend server,
//! and assigns each backend server the entry VM that dispatches requests to it. Leases nest: the
//! lease of a server ends before the lease of its dispatcher, which ends before the custody lease
//! of the zone.
//!
//! [`GlobalState`] and [`ZoneState`] are replicated state machines, pure functions of their logs.
//! [`GlobalLeader`] and [`ZoneLeader`] hold the unreplicated state of the current leader, such as
//! granted leases, and propose commands for the log.

mod claim;
mod claims;
mod custody;
mod even_split;
mod global;
mod handover;
mod heat_map;
mod placement;
mod quarantine;
mod records;
mod renewal;
mod run_map;
mod view;
mod zone;
mod zone_sync;

pub use claim::{ClaimAnswer, ClaimRequest, ClaimResolution, Claimant, StoredAnswer};
pub use claims::{
    CLAIM_IN_PROGRESS_LIMIT, CLAIM_RETENTION, ClaimRecord, ClaimRegistry, ClaimState, MAX_CLAIMS,
    MAX_STORED_BODY_BYTES,
};
pub use custody::{ALL_SLOTS, Custody, CustodyCause, CustodyRun};
pub use even_split::split_evenly;
pub use global::{
    CUSTODY_GRACE, GlobalCommand, GlobalLeader, GlobalLeaderConfig, GlobalLeaderConfigBuilder,
    GlobalOutcome, GlobalSnapshot, GlobalState, LeaseChange, UNSERVED_CUSTODY_LIMIT,
    ZONE_CONTACT_LIMIT, ZoneStatus,
};
pub use handover::{CustodyHandover, CustodyRelease, CustodyUpdate};
pub use heat_map::{HEAT_HALF_LIFE, HeatMap};
pub use placement::{
    CHURN_BURST_SLOTS, CHURN_SLOTS_PER_MINUTE, GreedyPlacement, MinMaxPlacement, PlacementInput,
    PlacementKind, PlacementPlan, PlacementPolicy, PlacementServer, REBALANCE_START_PERCENT,
    REBALANCE_STOP_PERCENT, RendezvousPlacement, SlotAssignment, SlotPlace,
};
pub use quarantine::{
    MAX_SUSPECTS, QUARANTINE_CRASHES, QUARANTINE_RETENTION, QUARANTINE_SHARED_CRASHES, Quarantine,
    Suspect,
};
pub use records::{EntryRecord, ServerRecord};
pub use renewal::{
    ReleasedSlots, RenewAnswer, RenewRefusal, RenewRequest, ServerCondition, ServerReport,
    SlotHeat, ViewUpdate,
};
pub use run_map::RunMap;
pub use view::{SlotOwner, ViewChange};
pub use zone::{
    COLD_START_RAMP, DISPATCHER_LEASE, Dispatcher, LeaseRegistry, MAX_TRANSFER_SLOTS,
    PLAN_INTERVAL, REBALANCE_INTERVAL, RENEW_INTERVAL, ServerEntry, SlotHold, SlotHoldRun,
    SlotMark, VIEW_LOG_CHANGES, ZoneCommand, ZoneLeader, ZoneLeaderConfig, ZoneLeaderConfigBuilder,
    ZoneOutcome, ZoneSnapshot, ZoneState,
};
pub use zone_sync::{ZoneDirectory, ZoneSyncAnswer, ZoneSyncRefusal, ZoneSyncRequest};
