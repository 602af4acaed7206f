//! Settings of an entry process.

use std::net::SocketAddr;
use std::time::Duration;

use chicory_types::{VmId, ZoneName};

use crate::GatewayConfig;

/// Settings of an entry process.
#[derive(Clone, Debug)]
pub struct GatewayProcessConfig {
    /// Id of this VM.
    pub vm: VmId,
    /// Availability zone of this VM.
    pub zone: ZoneName,
    /// Address to listen on for callers.
    pub caller_address: SocketAddr,
    /// Address at which other entry VMs send requests that this one is to relay; `None` if it relays
    /// none. With port 0 any free port is used.
    pub relay_address: Option<SocketAddr>,
    /// Address to listen on for these requests, if it is another one.
    pub relay_listen_address: Option<SocketAddr>,
    /// Control VMs that are known at the start. They stay candidates beside those that
    /// control VMs report.
    pub seeds: Vec<VmId>,
    /// Time from the announcement of a planned stop to the end of the process.
    pub stop_grace: Duration,
    /// Settings of the gateway's decisions.
    pub gateway_config: GatewayConfig,
}
