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
    /// Its availability zone.
    pub zone: ZoneName,
    /// Address for callers.
    pub caller_address: SocketAddr,
    /// Control VMs to look for.
    pub seeds: Vec<VmId>,
    /// Time from the announcement of a planned stop to the end of the process.
    pub stop_grace: Duration,
    /// Settings of the decisions.
    pub gateway_config: GatewayConfig,
}
