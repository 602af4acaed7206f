//! The request path as a pure reducer: admission, limits, retries, connections, outcomes.
//!
//! [`Dispatcher`](crate) takes every request of a caller or of another entry VM, finds who may
//! serve it, and either relays it, sends it to a backend server, or refuses it at once. Bodies
//! never pass through the reducer: it decides on heads and on progress.

mod announcement;
mod effect;
mod event;
mod exchange;
mod refusal;
mod request_head;

pub use announcement::{Announcement, AnnouncementAnswer, AnnouncementError, GrantedRun};
pub use effect::Effect;
pub use event::Event;
pub use exchange::{
    ConnectFailure, ConnectionId, ExchangeFailure, ProbeResult, RelayFailure, RelayLoad,
    RequestIdEcho, ServerRefusal,
};
pub use refusal::{Outcome, Refusal, RefusalReason};
pub use request_head::{RequestHead, RequestOrigin};
