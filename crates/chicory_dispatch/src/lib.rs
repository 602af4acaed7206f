//! The request path as a pure reducer: admission, limits, retries, connections, outcomes.
//!
//! [`RequestPath`] takes every request of a caller or of another entry VM, finds who may
//! serve it, and either relays it, sends it to a backend server, or refuses it at once. Bodies
//! never pass through the reducer: it decides on heads and on progress.

mod announcement;
mod counters;
mod effect;
mod event;
mod exchange;
mod lease;
mod life;
mod limits;
mod path_state;
mod refusal;
mod request;
mod request_head;
mod request_path;
mod request_path_config;
mod resignation;
mod server;
mod steps;
mod view;

pub use announcement::{Announcement, AnnouncementAnswer, AnnouncementError, GrantedRun};
pub use counters::Counters;
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
pub use view::{Directory, DirectoryServer, Holdings, ServerIndex, SlotState};
