//! Command-line arguments that an environment variable of the same name can also set.

use clap::{Arg, ArgAction};

/// Creates an argument `--flag VALUE`, which the environment variable `CHICORY_FLAG` can also set.
///
/// # Examples
///
/// ```
/// use chicory_settings::setting;
///
/// let arg = setting("peer-listen", "ADDRESS", "Address for other processes");
/// assert_eq!(arg.get_env().unwrap(), "CHICORY_PEER_LISTEN");
/// ```
#[must_use]
pub fn setting(flag: &'static str, value_name: &'static str, help: &'static str) -> Arg {
    Arg::new(flag)
        .long(flag)
        .env(environment_name(flag))
        .value_name(value_name)
        .help(help)
}

/// Creates a switch `--flag`, which the environment variable `CHICORY_FLAG=true` can also set.
#[must_use]
pub fn switch(flag: &'static str, help: &'static str) -> Arg {
    Arg::new(flag)
        .long(flag)
        .env(environment_name(flag))
        .action(ArgAction::SetTrue)
        .help(help)
}

/// Creates the switch `--check`, which every process has and which only checks the settings.
#[must_use]
pub fn check_flag() -> Arg {
    Arg::new("check")
        .long("check")
        .action(ArgAction::SetTrue)
        .help("Checks the settings and exits")
}

fn environment_name(flag: &str) -> String {
    format!("CHICORY_{}", flag.replace('-', "_").to_uppercase())
}
