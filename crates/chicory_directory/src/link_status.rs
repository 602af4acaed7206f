//! The state of a control VM that entry VMs need.

use chicory_routes::RouteTableVersion;
use chicory_types::VmId;

use crate::{DirectoryVersion, RequestFingerprint};

/// The state of a control VM that entry VMs need.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct LinkStatus {
    /// The leader, if one is known to the control VM.
    pub leader: Option<VmId>,
    /// Whether a majority of the control VMs was recently in contact, and this control VM has
    /// applied every log entry that was reported to it as committed.
    pub is_in_contact: bool,
    /// Version of the directory of the control VM.
    pub version: DirectoryVersion,
    /// All members of the control group, as far as they are known to the control VM.
    pub control_vms: Vec<VmId>,
    /// Number of entry VMs linked to the leader; 0 if the sender is not the leader.
    pub entry_count: u32,
    /// Fingerprints of requests that crash the backend servers that run them.
    pub poison: Vec<RequestFingerprint>,
    /// Version of the route table of the control VM. It may be sent long before the table itself.
    pub routes_version: RouteTableVersion,
}
