//! The request path as a pure reducer: admission, limits, retries, connections, outcomes.
//!
//! [`RequestPath`] handles every request from a caller or another entry VM. It finds the backend
//! server that may serve the request and then sends the request to that server, relays it to
//! another entry VM, or refuses it at once. Bodies never pass through the reducer, which handles
//! only heads and notifications of progress.

mod announce;
mod counters;
mod effect;
mod event;
mod exchange;
mod lease;
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
mod run_state;
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
pub use view::{Directory, DirectoryServer, ServerIndex, ServerSlots, SlotState};
