//! The state of one open request.

mod claim_state;
mod order_history;
mod phase;
mod relay_exchange;
mod request_state;
mod routing_requirements;
mod server_exchange;
mod target;

pub(crate) use claim_state::ClaimState;
pub(crate) use order_history::OrderHistory;
pub(crate) use phase::Phase;
pub(crate) use relay_exchange::RelayExchange;
pub(crate) use request_state::RequestState;
pub(crate) use routing_requirements::RoutingRequirements;
pub(crate) use server_exchange::ServerExchange;
pub(crate) use target::Target;
