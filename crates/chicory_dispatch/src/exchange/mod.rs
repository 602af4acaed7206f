//! Results of exchanges with backend servers and other entry processes.

mod connect_failure;
mod exchange_failure;
mod probe_result;
mod relay_failure;
mod relay_load;
mod request_id_echo;
mod server_refusal;

pub use connect_failure::ConnectFailure;
pub use exchange_failure::ExchangeFailure;
pub use probe_result::ProbeResult;
pub use relay_failure::RelayFailure;
pub use relay_load::RelayLoad;
pub use request_id_echo::RequestIdEcho;
pub use server_refusal::ServerRefusal;

/// Identifier of a connection to a backend server, unique in the process.
pub type ConnectionId = u64;
