//! Faults in settings.

use std::error::Error;
use std::fmt;

/// One setting that is invalid or missing.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SettingFault {
    /// Name of the flag, without dashes.
    pub flag: String,
    /// The value that was found, or `None` if the setting is missing.
    pub value: Option<String>,
    /// Description of the allowed values.
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

/// All faults in the settings of a process.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SettingFaults {
    /// The faults, in the order in which the settings were checked.
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
