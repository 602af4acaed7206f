//! State machine and leader of a zone group: servers, dispatchers, slots and claims.

mod apply_custody;
mod apply_roles;
mod apply_slots;
mod custody_leases;
mod lease_registry;
mod placement_planner;
mod server_health;
mod sync_client;
mod view_log;
mod zone_command;
mod zone_leader;
mod zone_leader_config;
mod zone_outcome;
mod zone_planner;
mod zone_snapshot;
mod zone_state;

pub use lease_registry::LeaseRegistry;
pub use view_log::VIEW_LOG_CHANGES;
pub use zone_command::ZoneCommand;
pub use zone_leader::ZoneLeader;
pub use zone_leader_config::{
    COLD_START_RAMP, DISPATCHER_LEASE, PLAN_INTERVAL, REBALANCE_INTERVAL, RENEW_INTERVAL,
    ZoneLeaderConfig, ZoneLeaderConfigBuilder,
};
pub use zone_outcome::ZoneOutcome;
pub use zone_snapshot::{SlotHoldRun, SlotMark, ZoneSnapshot};
pub use zone_state::{Dispatcher, MAX_TRANSFER_SLOTS, ServerEntry, SlotHold, ZoneState};
