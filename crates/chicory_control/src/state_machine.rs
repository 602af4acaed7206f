//! The interface between a replicated log and the state machine that it drives.

use chicory_types::LogIndex;
use chicory_wire::ConvertError;
use snafu::Snafu;

/// Error from decoding stored or received bytes.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub))]
pub enum DecodeError {
    /// The bytes aren't a protobuf message.
    #[snafu(display("malformed message: {source}"))]
    Malformed {
        /// Error of the decoder.
        source: prost::DecodeError,
    },
    /// The message isn't a valid command or snapshot.
    #[snafu(display("invalid command or snapshot: {source}"))]
    Invalid {
        /// Error of the conversion.
        source: ConvertError,
    },
}

/// A deterministic state machine that a replicated log drives.
pub trait StateMachine: Sized {
    /// Command that the log carries.
    type Command;
    /// Result of a command.
    type Outcome;

    /// Applies the command at log index `index`.
    fn apply(&mut self, index: LogIndex, command: &Self::Command) -> Self::Outcome;

    /// Encodes a command for the log.
    fn encode_command(command: Self::Command) -> Vec<u8>;

    /// Decodes a command from the log.
    ///
    /// # Errors
    ///
    /// Returns [`DecodeError`] if the bytes aren't a command.
    fn decode_command(bytes: &[u8]) -> Result<Self::Command, DecodeError>;

    /// Encodes the whole state as a snapshot.
    fn encode_snapshot(&self) -> Vec<u8>;

    /// Replaces the state by that of a snapshot. Empty bytes are the snapshot of the initial state.
    ///
    /// # Errors
    ///
    /// Returns [`DecodeError`] if the bytes aren't a snapshot; the state is then unchanged.
    fn restore(&mut self, bytes: &[u8]) -> Result<(), DecodeError>;
}
