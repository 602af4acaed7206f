//! The decision whether a process runs or exits after its settings have been read.

use std::process::ExitCode;

use clap::ArgMatches;

use crate::{FAULTY_SETTINGS_EXIT_CODE, SettingFaults};

/// What a process does after its settings have been read.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum StartAction<S> {
    /// Run with these settings.
    Run(S),
    /// Exit at once, because the settings are invalid or because `--check` was given.
    Exit(ExitCode),
}

impl<S> StartAction<S> {
    /// Chooses the action from the settings and the switch `--check`.
    ///
    /// Prints the faults to standard error, or the result of a successful check to standard output.
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
