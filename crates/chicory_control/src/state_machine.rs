//! What a replicated log drives.

use chicory_types::LogIndex;
use chicory_wire::ConvertError;
use snafu::Snafu;

/// Why stored or received bytes could not be read.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub))]
pub enum DecodeError {
    /// The bytes aren't a message.
    #[snafu(display("not a message: {source}"))]
    Malformed {
        /// What the codec says.
        source: prost::DecodeError,
    },
    /// The message isn't a valid command or snapshot.
    #[snafu(display("not valid: {source}"))]
    Invalid {
        /// What the conversion says.
        source: ConvertError,
    },
}

/// A deterministic state machine that a replicated log drives.
pub trait StateMachine: Sized {
    /// What the log carries.
    type Command;
    /// What a command did.
    type Outcome;

    /// Applies the command at `index`.
    fn apply(&mut self, index: LogIndex, command: &Self::Command) -> Self::Outcome;

    /// The bytes of a command, as the log keeps them.
    fn encode_command(command: Self::Command) -> Vec<u8>;

    /// The command of these bytes.
    ///
    /// # Errors
    ///
    /// [`DecodeError`] where the bytes are no command.
    fn decode_command(bytes: &[u8]) -> Result<Self::Command, DecodeError>;

    /// The bytes of the whole state.
    fn encode_snapshot(&self) -> Vec<u8>;

    /// Takes the state of a snapshot; empty bytes stand for the initial state.
    ///
    /// # Errors
    ///
    /// [`DecodeError`] where the bytes are no snapshot; the state is unchanged.
    fn restore(&mut self, bytes: &[u8]) -> Result<(), DecodeError>;
}
