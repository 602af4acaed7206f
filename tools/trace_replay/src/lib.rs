//! Replays recorded traces and compares them with their expected outcomes.
//!
//! A trace holds the events of one process. The replay passes them to the reducer of this build and
//! writes one line for each effect that callers, operators or other processes can observe. The
//! expected outcomes are such lines, which a person read and found correct when the trace was
//! recorded.

mod control_replay;
mod entry_replay;
mod replay_error;

pub use control_replay::replay_control;
pub use entry_replay::replay_entry;
pub use replay_error::ReplayError;
