//! Conversions of what the logs of the groups carry, and of their snapshots.

mod global_command;
mod global_snapshot;
mod zone_command;
mod zone_snapshot;
