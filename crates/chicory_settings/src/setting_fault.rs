//! Faults of settings.

use std::error::Error;
use std::fmt;

/// One faulty setting.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SettingFault {
    /// Name of the flag, without dashes.
    pub flag: String,
    /// The value found; `None` where the setting is missing.
    pub value: Option<String>,
    /// What is allowed.
    pub allowed: String,
}

impl fmt::Display for SettingFault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match &self.value {
            Some(value) => write!(f, "--{}: got {value:?}, ", self.flag)?,
            None => write!(f, "--{}: missing, ", self.flag)?,
        }
        write!(f, "allowed: {}", self.allowed)
    }
}

/// All faults of the settings of one start.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SettingFaults {
    /// The faults, in the order of checking.
    pub faults: Vec<SettingFault>,
}

impl fmt::Display for SettingFaults {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "{} faulty settings:", self.faults.len())?;
        for fault in &self.faults {
            writeln!(f, "  {fault}")?;
        }
        Ok(())
    }
}

impl Error for SettingFaults {}
