//! Exclusive ownership of key ranges.
//!
//! - [`RangeRegistry`] is replicated state: which incarnation of which backend server owns which
//!   keys, under which fence.
//! - [`GrantCoordinator`] is a reducer that only a leader runs: it sends grants to backend
//!   servers, renews them, and has keys released before it grants them to another owner.
//! - [`RangePlanner`] decides which keys should move, based on the load of each key.
//!
//! Nothing here does I/O or reads a clock.

mod ending;
mod fence_link;
mod grant_call;
mod grant_coordinator;
mod grant_coordinator_config;
mod grant_effect;
mod grant_event;
mod grant_step;
mod key_load;
mod key_range;
mod key_weights;
mod owned_range;
mod owner_map;
mod planned_server;
mod range_grant;
mod range_move;
mod range_planner;
mod range_registry;
mod server_incarnation;
mod server_share;
mod transfer;

pub use grant_call::{CallId, CallOutcome, GrantCall, LinkId};
pub use grant_coordinator::GrantCoordinator;
pub use grant_coordinator_config::{
    CALL_TIMEOUT, GRANT_EXPIRY_SLACK, GRANT_HOLD, GrantCoordinatorConfig, RELEASE_TIMEOUT,
    RENEWAL_INTERVAL, RETRY_INTERVAL,
};
pub use grant_effect::GrantEffect;
pub use grant_event::GrantEvent;
pub use key_load::{KEY_LOAD_HALF_LIFE, KeyLoad};
pub use key_range::{Key, KeyRange};
pub use key_weights::KeyWeights;
pub use owned_range::{Fence, OwnedRange};
pub use owner_map::OwnerMap;
pub use planned_server::PlannedServer;
pub use range_move::{MoveRejection, RangeMove};
pub use range_planner::RangePlanner;
pub use range_registry::RangeRegistry;
pub use server_incarnation::ServerIncarnation;
pub use transfer::Transfer;
