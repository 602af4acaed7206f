//! The state of one open request.

mod claim_state;
mod demand;
mod order_history;
mod phase;
mod relay_leg;
mod request_state;
mod server_exchange;
mod target;

pub(crate) use claim_state::ClaimState;
pub(crate) use demand::Demand;
pub(crate) use order_history::OrderHistory;
pub(crate) use phase::Phase;
pub(crate) use relay_leg::RelayLeg;
pub(crate) use request_state::RequestState;
pub(crate) use server_exchange::ServerExchange;
pub(crate) use target::Target;
