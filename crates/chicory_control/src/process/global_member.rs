//! The process's part in the global group, from its data folder.

use chicory_consensus::MemberId;
use chicory_storage::{DataFolder, FolderIdentity, GroupStorage};
use chicory_types::{Incarnation, MonoTime};
use slog::{Logger, warn};
use snafu::ResultExt;

use super::control_error::{ControlError, GroupSnafu, StorageSnafu};
use super::control_settings::ControlSettings;
use super::global_store::{GlobalStore, NoStore};
use crate::{GlobalGroup, new_global_group};

/// Name of the global group's files.
const GLOBAL_GROUP: &str = "global";

/// The process's part in the global group, and where that is stored.
pub struct GlobalMember {
    /// Start of the process, greater than that of any earlier one.
    pub incarnation: Incarnation,
    /// The group; `None` for a process that isn't a member.
    pub group: Option<GlobalGroup>,
    /// Where its state is made durable.
    pub store: Box<dyn GlobalStore>,
}

impl GlobalMember {
    /// Opens the data folder, where the process has a part in the global group.
    ///
    /// # Errors
    ///
    /// [`ControlError`] where the folder can't be used or belongs to another process.
    pub fn open(
        settings: &ControlSettings,
        started: Incarnation,
        now: MonoTime,
        logger: &Logger,
    ) -> Result<Self, ControlError> {
        let is_member = settings.global_peers.contains_key(&settings.vm);
        let Some(folder) = settings.data_dir.as_ref().filter(|_| is_member) else {
            return Ok(Self {
                incarnation: started,
                group: None,
                store: Box::new(NoStore),
            });
        };
        let identity = FolderIdentity {
            cluster: settings.cluster.clone(),
            vm: settings.vm.clone(),
            zone: settings.zone.clone(),
            incarnation: started,
        };
        let data = DataFolder::open(folder, &identity).context(StorageSnafu { folder })?;
        let identity = data.identity().clone();
        let (storage, restored) = GroupStorage::open(data.disk(), &identity, GLOBAL_GROUP)
            .context(StorageSnafu { folder })?;
        if let Some(damage) = storage.damage() {
            warn!(logger, "stored state is damaged; rejoining as a learner"; "damage" => %damage);
        }
        let member = MemberId::new(settings.vm.clone(), storage.incarnation());
        let vms = settings.global_peers.keys().cloned().collect();
        let group = new_global_group(member, &vms, restored, true, now).context(GroupSnafu)?;
        Ok(Self {
            incarnation: identity.incarnation,
            group: Some(group),
            store: Box::new(storage),
        })
    }
}
