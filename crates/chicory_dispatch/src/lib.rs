//! The request path as a pure reducer: admission, limits, retries, connections, outcomes.
//!
//! [`RequestPath`] takes every request of a caller or of another entry VM, finds who may
//! serve it, and either relays it, sends it to a backend server, or refuses it at once. Bodies
//! never pass through the reducer: it decides on heads and on progress.

mod announce;
mod counters;
mod effect;
mod event;
mod exchange;
mod lease;
mod life;
mod limits;
mod outcomes;
mod path_state;
mod request;
mod request_head;
mod request_origin;
mod request_path;
mod request_path_config;
mod request_path_config_builder;
mod resignation;
mod server;
mod steps;
mod view;

pub use announce::{Announcement, AnnouncementAnswer, AnnouncementError, GrantedRun};
pub use counters::Counters;
pub use effect::Effect;
pub use event::Event;
pub use exchange::{
    ConnectFailure, ConnectionId, ExchangeFailure, ProbeResult, RelayFailure, RelayLoad,
    RequestIdEcho, ServerRefusal,
};
pub use outcomes::{Outcome, Refusal, RefusalReason};
pub use request_head::RequestHead;
pub use request_origin::RequestOrigin;
pub use request_path::RequestPath;
pub use request_path_config::RequestPathConfig;
pub use request_path_config_builder::RequestPathConfigBuilder;
pub use view::{Directory, DirectoryServer, Holdings, ServerIndex, SlotState};
