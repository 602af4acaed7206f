//! Development stand-ins for backend servers and callers, and the checker of their histories.

use std::error::Error;
use std::process::ExitCode;

use chicory_standin::check::{self, CheckOutcome};
use chicory_standin::{load, server};
use clap::{ArgMatches, Command};
use tokio::task::LocalSet;

/// Exit code of a check that found a violation.
const EXIT_VIOLATED: u8 = 1;
/// Exit code of a command that failed.
const EXIT_FAILED: u8 = 2;

fn main() -> ExitCode {
    let matches = Command::new("chicory-standin")
        .version(env!("CARGO_PKG_VERSION"))
        .about("Development stand-ins for backend servers and callers")
        .subcommand_required(true)
        .subcommand(server::command())
        .subcommand(load::command())
        .subcommand(check::command())
        .get_matches();
    run(&matches).unwrap_or_else(|error| {
        eprintln!("chicory-standin: {error}");
        ExitCode::from(EXIT_FAILED)
    })
}

fn run(matches: &ArgMatches) -> Result<ExitCode, Box<dyn Error>> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    let tasks = LocalSet::new();
    match matches.subcommand() {
        Some(("server", matches)) => tasks.block_on(&runtime, server::run(matches))?,
        Some(("load", matches)) => tasks.block_on(&runtime, load::run(matches))?,
        Some(("check", matches)) => return Ok(exit_code(check::run(matches)?)),
        _ => unreachable!("clap requires a known command"),
    }
    Ok(ExitCode::SUCCESS)
}

fn exit_code(outcome: CheckOutcome) -> ExitCode {
    match outcome {
        CheckOutcome::Clean => ExitCode::SUCCESS,
        CheckOutcome::Violated => ExitCode::from(EXIT_VIOLATED),
    }
}
