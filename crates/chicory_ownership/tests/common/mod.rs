//! Simulated environment of the state machines: logs, messages, processes and clocks.

#![expect(
    dead_code,
    reason = "each test file uses its own part of the shared model"
)]

pub mod clock_model;
pub mod entry_model;
pub mod fixtures;
pub mod message;
pub mod server_model;
pub mod world;
pub mod world_checks;
pub mod world_groups;
