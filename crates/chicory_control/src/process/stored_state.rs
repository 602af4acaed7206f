//! The state that a process finds in its data folder, and the stores for its new state.

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
/// Prefix of the names of the zone groups' files; the group's epoch and the member's incarnation
/// follow.
const ZONE_GROUP_PREFIX: &str = "zone";

/// The state that a process finds in its data folder, and the stores for its new state.
pub struct StoredState {
    data: Option<DataFolder>,
    stores: BTreeMap<GroupName, Box<dyn GroupStore>>,
    /// Incarnation of the process, greater than that of every earlier start.
    pub incarnation: Incarnation,
}

impl StoredState {
    /// Opens the data folder, if the process has one.
    ///
    /// # Errors
    ///
    /// Returns [`ControlError`] if the folder can't be used or belongs to another process.
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

    /// Returns whether the process has a data folder.
    #[must_use]
    pub fn is_durable(&self) -> bool {
        self.data.is_some()
    }

    /// Opens the process's replica of the global group, if it is a member of it.
    ///
    /// # Errors
    ///
    /// Returns [`ControlError`] if the stored state can't be used.
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

    /// Opens the state of the process's latest member of its zone's group. Damaged state isn't
    /// used: the process then starts without state.
    ///
    /// # Errors
    ///
    /// Returns [`ControlError`] if the folder can't be read.
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

    /// Creates the store for what the zone's group makes durable from now on. Each member has a
    /// store of its own name.
    ///
    /// # Errors
    ///
    /// Returns [`ControlError`] if the folder can't be written.
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

    /// Returns the store of a group, if it has one.
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

/// Parses the group's epoch and the member's incarnation from the name of a zone group's files.
fn parse_zone_group_name(name: &str) -> Option<(u64, Incarnation)> {
    let numbers = name.strip_prefix(ZONE_GROUP_PREFIX)?.strip_prefix('-')?;
    let (group_epoch, incarnation) = numbers.split_once('-')?;
    Some((group_epoch.parse().ok()?, incarnation.parse().ok()?))
}
