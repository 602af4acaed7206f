//! Settings from flags and environment variables, checked all at once.
//!
//! Every process reads its settings the same way: each flag has an environment variable of the
//! same name, and a faulty start reports every fault together, so that an operator corrects a unit
//! file once rather than fault by fault.

mod setting;
mod setting_fault;
mod settings_reader;
mod start_action;

pub use setting::{check_flag, setting, switch};
pub use setting_fault::{SettingFault, SettingFaults};
pub use settings_reader::SettingsReader;
pub use start_action::StartAction;

/// Exit code of a process whose settings are faulty.
pub const FAULTY_SETTINGS_EXIT_CODE: u8 = 2;
