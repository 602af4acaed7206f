//! The identity of the process that a data folder belongs to.

use chicory_types::{ClusterName, Incarnation, VmId, ZoneName};
use chicory_wire::proto::storage;

use crate::storage_error::{ForeignFolderSnafu, IdentityField, StorageError};

/// The identity of the process that a data folder belongs to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FolderIdentity {
    /// Name of the cluster.
    pub cluster: ClusterName,
    /// Name of the VM.
    pub vm: VmId,
    /// Name of the availability zone.
    pub zone: ZoneName,
    /// Incarnation of this start of the process; a later start has a greater one.
    pub incarnation: Incarnation,
}

impl FolderIdentity {
    /// Checks that a folder with identity `found` belongs to this process; incarnations may differ.
    pub(crate) fn check(&self, found: &Self) -> Result<(), StorageError> {
        let fields = [
            (IdentityField::Cluster, &self.cluster, &found.cluster),
            (IdentityField::Vm, &self.vm, &found.vm),
            (IdentityField::Zone, &self.zone, &found.zone),
        ];
        for (field, expected, found) in fields {
            if expected != found {
                return ForeignFolderSnafu {
                    field,
                    expected,
                    found,
                }
                .fail();
            }
        }
        Ok(())
    }
}

impl From<FolderIdentity> for storage::FolderIdentity {
    fn from(identity: FolderIdentity) -> Self {
        Self {
            cluster: identity.cluster,
            vm: identity.vm,
            zone: identity.zone,
            incarnation: identity.incarnation,
        }
    }
}

impl From<storage::FolderIdentity> for FolderIdentity {
    fn from(message: storage::FolderIdentity) -> Self {
        Self {
            cluster: message.cluster,
            vm: message.vm,
            zone: message.zone,
            incarnation: message.incarnation,
        }
    }
}
