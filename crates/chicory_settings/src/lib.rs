//! Settings from flags and environment variables, all checked before any fault is reported.
//!
//! Every process reads its settings the same way. Each flag has an environment variable of the same
//! name. A process with invalid settings reports all faults together, so that an operator corrects
//! a unit file once instead of fault by fault.

mod setting;
mod setting_fault;
mod settings_reader;
mod start_action;

pub use setting::{check_flag, setting, switch};
pub use setting_fault::{SettingFault, SettingFaults};
pub use settings_reader::SettingsReader;
pub use start_action::StartAction;

/// Exit code of a process whose settings are invalid or missing.
pub const FAULTY_SETTINGS_EXIT_CODE: u8 = 2;
