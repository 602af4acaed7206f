//! The state machine of the global group: table, custody, and the formations of zone groups.

use std::collections::BTreeMap;

use chicory_ownership::{GlobalOutcome, GlobalSnapshot, GlobalState};
use chicory_types::{LogIndex, ZoneName};
use chicory_wire::proto::log;
use prost::Message;
use snafu::ResultExt;

use crate::convert::formation_record;
use crate::state_machine::{InvalidSnafu, MalformedSnafu};
use crate::{DecodeError, GlobalEntry, StateMachine, ZoneFormation};

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

    /// Returns the table and custody.
    #[must_use]
    pub fn state(&self) -> &GlobalState {
        &self.state
    }

    /// Returns the latest formation of a zone's group, if there is one.
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
