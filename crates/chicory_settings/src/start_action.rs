//! What a process does once its settings were read.

use std::process::ExitCode;

use clap::ArgMatches;

use crate::{FAULTY_SETTINGS_EXIT_CODE, SettingFaults};

/// What a process does once its settings were read.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum StartAction<S> {
    /// Run with these settings.
    Run(S),
    /// Exit at once: the settings are faulty, or were only to be checked.
    Exit(ExitCode),
}

impl<S> StartAction<S> {
    /// Decides by the settings and the switch `--check`, and says on the terminal what was found.
    #[must_use]
    pub fn from_settings(matches: &ArgMatches, settings: Result<S, SettingFaults>) -> Self {
        match settings {
            Err(faults) => {
                eprint!("{faults}");
                Self::Exit(ExitCode::from(FAULTY_SETTINGS_EXIT_CODE))
            }
            Ok(_) if matches.get_flag("check") => {
                println!("settings are sound");
                Self::Exit(ExitCode::SUCCESS)
            }
            Ok(settings) => Self::Run(settings),
        }
    }
}
