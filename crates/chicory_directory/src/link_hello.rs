//! The first message on a link.

use chicory_types::{OperatorName, VmId, ZoneName};

use crate::DirectoryPosition;

/// Who opens a link to a control VM.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LinkHello {
    /// Another control VM.
    Control {
        /// Its id, which is the address of its links.
        vm: VmId,
    },
    /// An entry VM, which follows the directory.
    Entry {
        /// Its id.
        vm: VmId,
        /// Its availability zone.
        zone: ZoneName,
        /// The directory that it has.
        known: DirectoryPosition,
    },
    /// An operator, who calls about the route table.
    Operator {
        /// The name, for the logs.
        operator: OperatorName,
    },
}
