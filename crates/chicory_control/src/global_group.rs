//! The member of the global group that a process runs.

use std::collections::BTreeSet;

use chicory_consensus::{ConfigError, Formation, MemberId, Replica, ReplicaConfig, RestoredState};
use chicory_types::{MonoTime, VmId, fingerprint_of};

use crate::{GlobalMachine, GlobalWaiter, Group};

/// A process's replica of the global group.
pub type GlobalGroup = Group<GlobalMachine, GlobalWaiter>;

/// Creates the replica of `member` in the global group of these VMs.
///
/// The group forms once, as soon as all of the VMs run for the first time. `is_durable` is false
/// for a process without a disk; the group then never requests a write.
///
/// # Errors
///
/// Returns [`ConfigError`] if the settings don't describe a valid member.
pub fn new_global_group(
    member: MemberId,
    vms: &BTreeSet<VmId>,
    restored: RestoredState,
    is_durable: bool,
    now: MonoTime,
) -> Result<GlobalGroup, ConfigError> {
    let seed = fingerprint_of(&[member.vm.as_bytes(), &member.incarnation.to_le_bytes()]);
    let config = ReplicaConfig::builder(member, vms.iter().cloned().collect())
        .formation(Formation::Unanimous)
        .seed(seed)
        .build()?;
    let replica = Replica::new(config, restored, now);
    Ok(Group::new(replica, GlobalMachine::default(), is_durable))
}
