//! Decisions about requests, without I/O.

mod admission;
mod crash_detector;
mod entry_count;
mod gateway;
mod gateway_attempts;
mod gateway_choice;
mod gateway_config;
mod gateway_freshness;
mod gateway_notices;
mod gateway_relays;
mod gateway_reports;
mod limited_servers;
mod next_step;
mod permit_state;
mod policy;
mod refusal;
mod refusals;
mod request_metadata;
mod request_ticket;
mod retry_budget;
mod server_health;
mod server_notices;
mod table_lag;
mod zone_reachability;

pub use admission::Admission;
pub use gateway::Gateway;
pub use gateway_config::GatewayConfig;
pub use limited_servers::{LimitInForce, LimitedServerLoad};
pub use next_step::{AttemptOutcome, NextStep, Recheck, Target};
pub use policy::Policy;
pub use refusal::{Refusal, RefusalReason};
pub use request_metadata::RequestMetadata;
pub use request_ticket::RequestTicket;
pub use retry_budget::RetryBudget;
pub use server_notices::{LeavingNotice, LimitNotice, RestNotice, ServerNotices};
