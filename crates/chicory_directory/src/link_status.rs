//! State of a control VM as entry VMs need it.

use chicory_routes::RouteTableVersion;
use chicory_types::VmId;

use crate::{DirectoryVersion, RequestFingerprint};

/// State of a control VM as entry VMs need it.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct LinkStatus {
    /// The leader as far as it knows.
    pub leader: Option<VmId>,
    /// Whether a majority of the control VMs was in contact within the last moments, and all is applied
    /// that was heard to be committed.
    pub is_in_contact: bool,
    /// Version of its directory.
    pub version: DirectoryVersion,
    /// All control VMs that it knows.
    pub control_vms: Vec<VmId>,
    /// Number of entry VMs that follow the leader; 0 if the sender does not lead.
    pub entry_count: u32,
    /// Requests that crash the backend servers that run them.
    pub poison: Vec<RequestFingerprint>,
    /// Version of its route table. It may go out long before the table itself.
    pub routes_version: RouteTableVersion,
}
