//! The options of the command line.

use std::path::PathBuf;

use clap::{Arg, Command, value_parser};

use crate::fault_kind::FaultKind;

/// The options of the command line.
#[derive(Clone, Debug)]
pub struct Options {
    /// Folder that holds the programs under test.
    pub binaries: PathBuf,
    /// Seeds to run, one run each.
    pub seeds: Vec<u64>,
    /// Number of times that each seed is run.
    pub repetitions: usize,
    /// Number of runs at the same time.
    pub jobs: usize,
    /// Rounds of each run: faults, time to recover, and planned work without faults.
    pub rounds: u32,
    /// Number of entry VMs in each run.
    pub entry_count: u8,
    /// The only kind of fault; all kinds if `None`.
    pub only: Option<FaultKind>,
    /// Seeds in which entry VMs without a path to servers are known to fail their callers: this
    /// violation alone doesn't fail the run.
    pub known_entry_cuts: Vec<u64>,
    /// Folder for the logs of runs that violated a guarantee.
    pub logs: PathBuf,
    /// Whether the logs of runs without violations are kept too.
    pub keeps_logs: bool,
}

impl Options {
    /// Reads the command line. If it is malformed, prints the error and exits.
    #[must_use]
    pub fn from_command_line() -> Self {
        let mut matches = command().get_matches();
        let first: u64 = matches.remove_one("seed").unwrap_or(1);
        let count: u64 = matches.remove_one("count").unwrap_or(1);
        Self {
            binaries: matches.remove_one("binaries").unwrap_or_default(),
            seeds: (first..first + count).collect(),
            repetitions: matches.remove_one("repetitions").unwrap_or(1),
            jobs: matches.remove_one("jobs").unwrap_or(1),
            rounds: matches.remove_one("rounds").unwrap_or(1),
            entry_count: matches.remove_one("entries").unwrap_or(4),
            only: matches.remove_one("only"),
            known_entry_cuts: matches
                .remove_many("known-entry-cut")
                .map(Iterator::collect)
                .unwrap_or_default(),
            logs: matches.remove_one("logs").unwrap_or_default(),
            keeps_logs: matches.get_flag("keep-logs"),
        }
    }
}

fn command() -> Command {
    let number = |name: &'static str, default: &'static str| {
        let argument = Arg::new(name).long(name).default_value(default);
        argument.value_name("N")
    };
    let folder = |name: &'static str| {
        let argument = Arg::new(name).long(name).value_name("FOLDER");
        argument.value_parser(value_parser!(PathBuf))
    };
    Command::new("soak")
        .about("Runs the platform's programs under random faults and checks their guarantees")
        .arg(
            folder("binaries")
                .required(true)
                .help("Folder that holds the programs"),
        )
        .arg(
            folder("logs")
                .default_value("target/soak")
                .help("Folder for the logs of runs that violated a guarantee"),
        )
        .arg(
            number("seed", "1")
                .value_parser(value_parser!(u64))
                .help("First seed"),
        )
        .arg(
            number("count", "1")
                .value_parser(value_parser!(u64))
                .help("Number of seeds"),
        )
        .arg(
            number("repetitions", "1")
                .value_parser(value_parser!(usize))
                .help("Number of times that each seed is run"),
        )
        .arg(
            number("jobs", "1")
                .value_parser(value_parser!(usize))
                .help("Number of runs at the same time"),
        )
        .arg(
            number("rounds", "1")
                .value_parser(value_parser!(u32))
                .help("Rounds of faults and of planned work in each run"),
        )
        .arg(
            number("entries", "4")
                .value_parser(value_parser!(u8).range(2..=100))
                .help("Number of entry VMs in each run"),
        )
        .arg(
            Arg::new("only")
                .long("only")
                .value_name("KIND")
                .value_parser(value_parser!(FaultKind))
                .help("The only kind of fault; there is no planned work and no other fault"),
        )
        .arg(
            Arg::new("known-entry-cut")
                .long("known-entry-cut")
                .value_name("SEED")
                .action(clap::ArgAction::Append)
                .value_parser(value_parser!(u64))
                .help("Seed in which cut-off entry VMs are known to fail their callers"),
        )
        .arg(
            Arg::new("keep-logs")
                .long("keep-logs")
                .action(clap::ArgAction::SetTrue)
                .help("Keep the logs of all runs"),
        )
}
