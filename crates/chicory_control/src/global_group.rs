//! A process's part in the global group.

use std::collections::BTreeSet;

use chicory_consensus::{ConfigError, Formation, MemberId, Replica, ReplicaConfig, RestoredState};
use chicory_types::{MonoTime, VmId, fingerprint_of};

use crate::{GlobalMachine, GlobalWaiter, Group};

/// The global group, as a member sees it.
pub type GlobalGroup = Group<GlobalMachine, GlobalWaiter>;

/// Creates the part of `member` in the global group of these VMs.
///
/// The group forms once, when all of them are there for the first time. Without a disk,
/// `is_durable` is false, and nothing is ever asked to be made durable.
///
/// # Errors
///
/// [`ConfigError`] where the settings make no valid member.
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
