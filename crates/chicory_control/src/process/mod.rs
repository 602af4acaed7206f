//! The shell around the reducer: it passes events to the reducer and carries out its effects.

mod command;
mod control_error;
mod control_metric;
mod control_process;
mod control_settings;
mod group_store;
mod note_log;
mod peer_links;
mod peer_server;
mod pending_calls;
mod shell_event;
mod stored_state;

pub use command::control_command;
pub use control_error::ControlError;
pub use control_metric::ControlMetric;
pub use control_process::run;
pub use control_settings::ControlSettings;
