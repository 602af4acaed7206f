//! What a process finds in its data folder, and where it keeps what follows.

use std::collections::BTreeMap;

use chicory_consensus::{MemberId, RestoredState};
use chicory_storage::{DataFolder, FolderIdentity, GroupStorage, StorageError};
use chicory_types::{Incarnation, MonoTime};
use slog::{Logger, warn};
use snafu::ResultExt;

use super::control_error::{ControlError, GroupSnafu, StorageSnafu};
use super::control_settings::ControlSettings;
use super::group_store::GroupStore;
use crate::{GlobalGroup, GroupName, StoredZoneMember, new_global_group};

/// Name of the global group's files.
const GLOBAL_GROUP_NAME: &str = "global";
/// Names of the files of the zone's groups: epoch and start of the member's memory follow.
const ZONE_GROUP_PREFIX: &str = "zone";

/// What a process finds in its data folder, and where it keeps what follows.
pub struct StoredState {
    data: Option<DataFolder>,
    stores: BTreeMap<GroupName, Box<dyn GroupStore>>,
    /// Start of the process, greater than that of any earlier one.
    pub incarnation: Incarnation,
}

impl StoredState {
    /// Opens the data folder, where the process has one.
    ///
    /// # Errors
    ///
    /// [`ControlError`] where the folder can't be used or belongs to another process.
    pub fn open(settings: &ControlSettings, started: Incarnation) -> Result<Self, ControlError> {
        let mut state = Self {
            data: None,
            stores: BTreeMap::new(),
            incarnation: started,
        };
        let Some(folder) = &settings.data_dir else {
            return Ok(state);
        };
        let identity = FolderIdentity {
            cluster: settings.cluster.clone(),
            vm: settings.vm.clone(),
            zone: settings.zone.clone(),
            incarnation: started,
        };
        let data = DataFolder::open(folder, &identity).context(StorageSnafu { folder })?;
        state.incarnation = data.identity().incarnation;
        state.data = Some(data);
        Ok(state)
    }

    /// Whether there is a data folder.
    #[must_use]
    pub fn is_durable(&self) -> bool {
        self.data.is_some()
    }

    /// The process's part in the global group, if it has one.
    ///
    /// # Errors
    ///
    /// [`ControlError`] where the stored state can't be used.
    pub fn open_global(
        &mut self,
        settings: &ControlSettings,
        now: MonoTime,
        logger: &Logger,
    ) -> Result<Option<GlobalGroup>, ControlError> {
        let is_member = settings.global_peers.contains_key(&settings.vm);
        let (Some(data), true) = (&self.data, is_member) else {
            return Ok(None);
        };
        let (storage, restored) = open_group(data, data.identity(), GLOBAL_GROUP_NAME)?;
        log_damage(&storage, logger);
        let member = MemberId::new(settings.vm.clone(), storage.incarnation());
        let vms = settings.global_peers.keys().cloned().collect();
        let group = new_global_group(member, &vms, restored, true, now).context(GroupSnafu)?;
        self.stores.insert(GroupName::Global, Box::new(storage));
        Ok(Some(group))
    }

    /// The process's last part in its zone's group. One that is damaged is given up: the process
    /// comes back without memory.
    ///
    /// # Errors
    ///
    /// [`ControlError`] where the folder can't be read.
    pub fn open_zone(&mut self, logger: &Logger) -> Result<Option<StoredZoneMember>, ControlError> {
        let Some(data) = &self.data else {
            return Ok(None);
        };
        let names = data.disk().list("").unwrap_or_default();
        let newest = names
            .iter()
            .filter_map(|name| parse_zone_group_name(name))
            .max();
        let Some((group_epoch, incarnation)) = newest else {
            return Ok(None);
        };
        let name = zone_group_name(group_epoch, incarnation);
        let (storage, state) = open_group(data, data.identity(), &name)?;
        log_damage(&storage, logger);
        if storage.incarnation() != incarnation || is_empty(&state) {
            return Ok(None);
        }
        self.stores.insert(GroupName::Zone, Box::new(storage));
        Ok(Some(StoredZoneMember {
            group_epoch,
            incarnation,
            state,
        }))
    }

    /// Keeps what the zone's group makes durable from now on under a name of its own.
    ///
    /// # Errors
    ///
    /// [`ControlError`] where the folder can't be written.
    pub fn create_zone_store(
        &mut self,
        group_epoch: u64,
        member: &MemberId,
    ) -> Result<(), ControlError> {
        let Some(data) = &self.data else {
            return Ok(());
        };
        let identity = FolderIdentity {
            incarnation: member.incarnation,
            ..data.identity().clone()
        };
        let name = zone_group_name(group_epoch, member.incarnation);
        let (storage, _) = open_group(data, &identity, &name)?;
        self.stores.insert(GroupName::Zone, Box::new(storage));
        Ok(())
    }

    /// Where a group's state is made durable.
    pub fn store_mut(&mut self, group: GroupName) -> Option<&mut Box<dyn GroupStore>> {
        self.stores.get_mut(&group)
    }
}

fn open_group(
    data: &DataFolder,
    identity: &FolderIdentity,
    name: &str,
) -> Result<(GroupStorage, RestoredState), ControlError> {
    let opened: Result<_, StorageError> = GroupStorage::open(data.disk(), identity, name);
    opened.context(StorageSnafu { folder: name })
}

fn log_damage(storage: &GroupStorage, logger: &Logger) {
    if let Some(damage) = storage.damage() {
        warn!(logger, "stored state is damaged; rejoining as a learner"; "damage" => %damage);
    }
}

fn is_empty(state: &RestoredState) -> bool {
    state.snapshot.is_none() && state.entries.is_empty()
}

fn zone_group_name(group_epoch: u64, incarnation: Incarnation) -> String {
    format!("{ZONE_GROUP_PREFIX}-{group_epoch}-{incarnation}")
}

/// Epoch and start of the member's memory, from the name of a zone's group.
fn parse_zone_group_name(name: &str) -> Option<(u64, Incarnation)> {
    let numbers = name.strip_prefix(ZONE_GROUP_PREFIX)?.strip_prefix('-')?;
    let (group_epoch, incarnation) = numbers.split_once('-')?;
    Some((group_epoch.parse().ok()?, incarnation.parse().ok()?))
}
