//! The command line.

use std::path::PathBuf;

use clap::{Arg, ArgMatches, Command, value_parser};

use crate::deployment::{DeploymentSize, KEEP_FILES_VARIABLE};
use crate::failures::FailureCase;

/// Creates the command line of the runner.
pub fn command_line() -> Command {
    Command::new("demo_runner")
        .about("Starts small deployments on loopback and checks that they behave as expected")
        .after_help(format!(
            "Logs, histories and traces are kept if {KEEP_FILES_VARIABLE} is set."
        ))
        .subcommand_required(true)
        .subcommand(
            Command::new("demo")
                .about("Shows keyed requests, an order and the loss of two processes")
                .arg(binaries())
                .arg(number("zones", "Availability zones", "3"))
                .arg(number("controls", "Control processes of each zone", "3"))
                .arg(number("entries", "Entry processes of each zone", "3")),
        )
        .subcommand(
            Command::new("failures")
                .about(
                    "Makes processes fail and checks what callers, servers and operators observed",
                )
                .arg(binaries())
                .arg(
                    Arg::new("case")
                        .help("Cases to run; all by default")
                        .num_args(0..)
                        .value_parser(FailureCase::ALL.map(FailureCase::name)),
                ),
        )
}

/// Returns the cases to run: those that are named, or all.
pub fn cases_of(matches: &ArgMatches) -> Vec<FailureCase> {
    let names = matches.get_many::<String>("case").unwrap_or_default();
    let names: Vec<&String> = names.collect();
    let is_named = |case: &FailureCase| names.iter().any(|name| *name == case.name());
    let cases = FailureCase::ALL.into_iter();
    cases
        .filter(|case| names.is_empty() || is_named(case))
        .collect()
}

fn binaries() -> Arg {
    Arg::new("binaries")
        .long("binaries")
        .help("Folder that holds the programs")
        .default_value("target/release")
        .value_parser(value_parser!(PathBuf))
}

fn number(name: &'static str, help: &'static str, default: &'static str) -> Arg {
    Arg::new(name)
        .long(name)
        .help(help)
        .default_value(default)
        .value_parser(value_parser!(u8).range(1..=3))
}

/// Returns the folder that holds the programs.
pub fn binaries_of(matches: &ArgMatches) -> PathBuf {
    matches
        .get_one::<PathBuf>("binaries")
        .cloned()
        .unwrap_or_default()
}

/// Returns the size of the deployment. One control process of each zone is in the global group.
pub fn size_of_deployment(matches: &ArgMatches) -> DeploymentSize {
    let count = |name| matches.get_one::<u8>(name).copied().map_or(1, usize::from);
    DeploymentSize {
        zones: count("zones"),
        controls: count("controls"),
        global_controls: 1,
        entries: count("entries"),
    }
}
