//! The state machine of the global group.

use std::collections::{BTreeMap, BTreeSet};

use chicory_consensus::MemberId;
use chicory_ownership::{GlobalCommand, GlobalOutcome, GlobalSnapshot, GlobalState};
use chicory_types::{LogIndex, ZoneName};
use chicory_wire::proto::log;
use prost::Message;

use crate::convert::formation_record;
use crate::state_machine::{InvalidSnafu, MalformedSnafu};
use crate::{DecodeError, StateMachine};
use snafu::ResultExt;

/// Who may form the group of a zone.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ZoneFormation {
    /// Epoch of the group; each is given out once.
    pub group_epoch: u64,
    /// Its founders.
    pub founders: BTreeSet<MemberId>,
}

/// A command of the global group's log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum GlobalEntry {
    /// A command on table or custody.
    Ownership(GlobalCommand),
    /// A zone's group is to be formed; changes nothing unless the epoch is the next one.
    FormZone {
        /// The zone.
        zone: ZoneName,
        /// Its formation.
        formation: ZoneFormation,
    },
}

/// The state machine of the global group: table, custody, and the formations of zone groups.
#[derive(Clone, Debug, Default)]
pub struct GlobalMachine {
    state: GlobalState,
    formations: BTreeMap<ZoneName, ZoneFormation>,
}

impl GlobalMachine {
    /// Restores the machine from its snapshot.
    #[must_use]
    pub fn restored(state: GlobalSnapshot, formations: BTreeMap<ZoneName, ZoneFormation>) -> Self {
        Self {
            state: GlobalState::restore(state),
            formations,
        }
    }

    /// Table and custody.
    #[must_use]
    pub fn state(&self) -> &GlobalState {
        &self.state
    }

    /// The latest formation of a zone's group.
    #[must_use]
    pub fn formation(&self, zone: &ZoneName) -> Option<&ZoneFormation> {
        self.formations.get(zone)
    }

    fn form_zone(&mut self, zone: &ZoneName, formation: &ZoneFormation) -> GlobalOutcome {
        let known_epoch = self
            .formations
            .get(zone)
            .map_or(0, |known| known.group_epoch);
        if formation.group_epoch != known_epoch + 1 {
            return GlobalOutcome::Stale;
        }
        self.formations.insert(zone.clone(), formation.clone());
        GlobalOutcome::Applied
    }
}

impl StateMachine for GlobalMachine {
    type Command = GlobalEntry;
    type Outcome = GlobalOutcome;

    fn apply(&mut self, index: LogIndex, command: &GlobalEntry) -> GlobalOutcome {
        match command {
            GlobalEntry::Ownership(command) => self.state.apply(index, command),
            GlobalEntry::FormZone { zone, formation } => self.form_zone(zone, formation),
        }
    }

    fn encode_command(command: GlobalEntry) -> Vec<u8> {
        log::GlobalEntry::from(command).encode_to_vec()
    }

    fn decode_command(bytes: &[u8]) -> Result<GlobalEntry, DecodeError> {
        let message = log::GlobalEntry::decode(bytes).context(MalformedSnafu)?;
        GlobalEntry::try_from(message).context(InvalidSnafu)
    }

    fn encode_snapshot(&self) -> Vec<u8> {
        let formations = self.formations.iter();
        log::GlobalMachineSnapshot {
            state: Some(self.state.snapshot().into()),
            formations: formations
                .map(|(zone, formation)| formation_record(zone.clone(), formation.clone()))
                .collect(),
        }
        .encode_to_vec()
    }

    fn restore(&mut self, bytes: &[u8]) -> Result<(), DecodeError> {
        if bytes.is_empty() {
            *self = Self::default();
            return Ok(());
        }
        let message = log::GlobalMachineSnapshot::decode(bytes).context(MalformedSnafu)?;
        *self = Self::try_from(message).context(InvalidSnafu)?;
        Ok(())
    }
}
