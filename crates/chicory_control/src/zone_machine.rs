//! The state machine of a zone's group.

use chicory_ownership::{ZoneCommand, ZoneOutcome, ZoneSnapshot, ZoneState};
use chicory_types::{LogIndex, ZoneName};
use chicory_wire::proto::log;
use prost::Message;
use snafu::ResultExt;

use crate::state_machine::{InvalidSnafu, MalformedSnafu};
use crate::{DecodeError, StateMachine};

/// The state machine of a zone's group.
pub struct ZoneMachine {
    zone: ZoneName,
    group_epoch: u64,
    state: ZoneState,
}

impl ZoneMachine {
    /// Creates the state machine of a group that was just formed.
    #[must_use]
    pub fn new(zone: ZoneName, group_epoch: u64) -> Self {
        let state = ZoneState::new(zone.clone(), group_epoch);
        Self {
            zone,
            group_epoch,
            state,
        }
    }

    /// Returns the replicated state.
    #[must_use]
    pub fn state(&self) -> &ZoneState {
        &self.state
    }
}

impl StateMachine for ZoneMachine {
    type Command = ZoneCommand;
    type Outcome = ZoneOutcome;

    fn apply(&mut self, index: LogIndex, command: &ZoneCommand) -> ZoneOutcome {
        self.state.apply(index, command)
    }

    fn encode_command(command: ZoneCommand) -> Vec<u8> {
        log::ZoneCommand::from(command).encode_to_vec()
    }

    fn decode_command(bytes: &[u8]) -> Result<ZoneCommand, DecodeError> {
        let message = log::ZoneCommand::decode(bytes).context(MalformedSnafu)?;
        ZoneCommand::try_from(message).context(InvalidSnafu)
    }

    fn encode_snapshot(&self) -> Vec<u8> {
        log::ZoneSnapshot::from(self.state.snapshot()).encode_to_vec()
    }

    fn restore(&mut self, bytes: &[u8]) -> Result<(), DecodeError> {
        if bytes.is_empty() {
            self.state = ZoneState::new(self.zone.clone(), self.group_epoch);
            return Ok(());
        }
        let message = log::ZoneSnapshot::decode(bytes).context(MalformedSnafu)?;
        let snapshot = ZoneSnapshot::try_from(message).context(InvalidSnafu)?;
        self.state = ZoneState::restore(snapshot);
        Ok(())
    }
}
