//! Settings of a control process.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::path::PathBuf;

use chicory_policy::ColdAllowance;
use chicory_ranges::GrantCoordinatorConfig;
use chicory_types::{ClusterName, VmId, ZoneName};

/// Settings of a control process.
#[derive(Clone, Debug)]
pub struct SiteProcessConfig {
    /// Name of the deployment; data folders of another deployment are refused.
    pub cluster: ClusterName,
    /// Id of the VM, which is the address at which other VMs reach its links.
    pub vm: VmId,
    /// Address to listen on for links.
    pub link_address: SocketAddr,
    /// Availability zone of the VM.
    pub zone: ZoneName,
    /// Availability zones of the deployment, which operators may evacuate; if there are none, those
    /// in which a server or a control VM is known.
    pub zones: BTreeSet<ZoneName>,
    /// Control VMs through which the group is found.
    pub seeds: Vec<VmId>,
    /// Number of voters of the control group.
    pub voter_count: usize,
    /// Whether the deployment is started for the very first time.
    pub is_first_start: bool,
    /// The data folder.
    pub data_dir: PathBuf,
    /// Settings of grants.
    pub grants: GrantCoordinatorConfig,
    /// How far the requests to a cold server may exceed its rate.
    pub cold_allowance: ColdAllowance,
}
