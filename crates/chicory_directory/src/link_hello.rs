//! The first message on a link.

use std::net::SocketAddr;

use chicory_types::{OperatorName, VmId, ZoneName};

use crate::DirectoryPosition;

/// The first message on a link to a control VM: the identity of the process that opened the link.
#[derive(Clone, Debug, PartialEq)]
pub enum LinkHello {
    /// Another control VM.
    Control {
        /// Id of the control VM, which is also the address of its links.
        vm: VmId,
        /// Availability zone of the control VM; `None` from control VMs of earlier releases.
        zone: Option<ZoneName>,
    },
    /// An entry VM, which receives the directory and its updates.
    Entry {
        /// Id of the entry VM.
        vm: VmId,
        /// Availability zone of the entry VM.
        zone: ZoneName,
        /// How much of the directory the entry VM has already.
        known: DirectoryPosition,
        /// Address on which it accepts requests of other entry VMs to relay; `None` if it relays
        /// none, as entry VMs of earlier releases.
        relay_address: Option<SocketAddr>,
        /// Processor cores that the entry VM may use, which may be a fraction; `None` if it does not
        /// state them, as entry VMs of earlier releases. The value is finite and positive.
        cpu_share: Option<f64>,
    },
    /// An operator, who reads or replaces the route table.
    Operator {
        /// Name of the operator, for the logs.
        operator: OperatorName,
    },
}
