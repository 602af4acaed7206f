//! Arguments whose environment variable has the name of their flag.

use clap::{Arg, ArgAction};

/// Creates an argument `--flag VALUE` that `CHICORY_FLAG` sets as well.
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

/// Creates a switch `--flag` that `CHICORY_FLAG=true` sets as well.
#[must_use]
pub fn switch(flag: &'static str, help: &'static str) -> Arg {
    Arg::new(flag)
        .long(flag)
        .env(environment_name(flag))
        .action(ArgAction::SetTrue)
        .help(help)
}

/// Creates the switch `--check`, which every process has.
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
