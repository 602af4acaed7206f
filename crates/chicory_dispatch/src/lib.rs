//! The request path as a pure reducer: admission, limits, retries, connections, outcomes.
//!
//! [`RequestPath`] takes every request of a caller or of another entry VM, finds who may
//! serve it, and either relays it, sends it to a backend server, or refuses it at once. Bodies
//! never pass through the reducer: it decides on heads and on progress.

mod announcement;
mod announcements;
mod arrivals;
mod connection_pool;
mod connections;
mod counters;
mod crash_suspects;
mod demand;
mod directory;
mod effect;
mod event;
mod exchange;
mod exchanges;
mod fair_queue;
mod grant_book;
mod health;
mod lease;
mod orders;
mod path_state;
mod placing;
mod refusal;
mod relays;
mod renewals;
mod request_head;
mod request_path;
mod request_path_config;
mod request_state;
mod retries;
mod retry_budget;
mod roles;
mod router;
mod server_observation;
mod server_state;
mod service_limits;
mod service_time;
mod slot_map;
mod sweep;
mod token_bucket;

pub use announcement::{Announcement, AnnouncementAnswer, AnnouncementError, GrantedRun};
pub use counters::Counters;
pub use directory::{Directory, DirectoryServer, Holdings, ServerIndex};
pub use effect::Effect;
pub use event::Event;
pub use exchange::{
    ConnectFailure, ConnectionId, ExchangeFailure, ProbeResult, RelayFailure, RelayLoad,
    RequestIdEcho, ServerRefusal,
};
pub use refusal::{Outcome, Refusal, RefusalReason};
pub use request_head::{RequestHead, RequestOrigin};
pub use request_path::RequestPath;
pub use request_path_config::{RequestPathConfig, RequestPathConfigBuilder};
pub use slot_map::SlotState;
