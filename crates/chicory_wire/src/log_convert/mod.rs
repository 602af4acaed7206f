//! Conversions of the commands in the replicated logs of the groups, and of their snapshots.

mod global_command;
mod global_snapshot;
mod zone_command;
mod zone_snapshot;
