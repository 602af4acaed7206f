//! State machine and leader of the global group: table, availability zones and custody.

mod apply_custody;
mod global_command;
mod global_leader;
mod global_leader_config;
mod global_outcome;
mod global_planner;
mod global_snapshot;
mod global_state;

pub use global_command::GlobalCommand;
pub use global_leader::GlobalLeader;
pub use global_leader_config::{
    CUSTODY_GRACE, GlobalLeaderConfig, GlobalLeaderConfigBuilder, UNSERVED_CUSTODY_LIMIT,
    ZONE_CONTACT_LIMIT,
};
pub use global_outcome::GlobalOutcome;
pub use global_snapshot::{GlobalSnapshot, LeaseChange};
pub use global_state::{GlobalState, ZoneStatus};
