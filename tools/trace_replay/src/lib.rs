//! Replays recorded traces and compares them with their stated outcomes.
//!
//! A trace holds what happened to one process. The replay feeds it to the reducer of this build and
//! writes one line for each thing that others can see. The stated outcomes are such lines, read and
//! found right by a person when the trace was recorded.

mod control_replay;
mod entry_replay;
mod replay_error;

pub use control_replay::replay_control;
pub use entry_replay::replay_entry;
pub use replay_error::ReplayError;
