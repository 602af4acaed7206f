//! Command-line options that can also be set by environment variables.

use std::any::Any;

use clap::{Arg, ArgAction, ArgMatches};

/// Prefix of the environment variables.
const ENV_PREFIX: &str = "CHICORY_STANDIN_";

/// Creates an option with one value.
#[must_use]
pub fn option(name: &'static str, help: &'static str) -> Arg {
    Arg::new(name).long(name).env(env_name(name)).help(help)
}

/// Creates an option with values separated by commas.
#[must_use]
pub fn list(name: &'static str, help: &'static str) -> Arg {
    option(name, help)
        .value_delimiter(',')
        .action(ArgAction::Append)
}

/// Creates an option without a value.
#[must_use]
pub fn flag(name: &'static str, help: &'static str) -> Arg {
    option(name, help).action(ArgAction::SetTrue)
}

/// Returns the value of an option that is required or has a default.
///
/// # Panics
///
/// Panics if the option is neither required nor has a default.
#[must_use]
pub fn value<T: Any + Clone + Send + Sync>(matches: &ArgMatches, name: &str) -> T {
    let value = matches.get_one::<T>(name);
    value
        .expect("the option is required or has a default")
        .clone()
}

/// Returns all values of an option.
#[must_use]
pub fn list_of(matches: &ArgMatches, name: &str) -> Vec<String> {
    let values = matches.get_many::<String>(name);
    values.unwrap_or_default().cloned().collect()
}

fn env_name(name: &str) -> String {
    format!("{ENV_PREFIX}{}", name.replace('-', "_").to_uppercase())
}
