//! Starts small deployments on loopback and checks that they behave as expected.

mod child_process;
mod command_line;
mod demo;
mod deployment;
mod failures;
mod run_caller;
mod runner_error;
mod services;
mod wait;

use std::process::ExitCode;

use clap::ArgMatches;
use tokio::signal::unix::{SignalKind, signal};
use tokio::task::LocalSet;

use crate::demo::{DemoSettings, run_demo};
use crate::failures::run_failures;
use crate::runner_error::RunnerError;

fn main() -> ExitCode {
    let matches = command_line::command_line().get_matches();
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("the async runtime can be created");
    let result = LocalSet::new().block_on(&runtime, run_unless_interrupted(&matches));
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("failed: {error}");
            ExitCode::FAILURE
        }
    }
}

/// Runs the command. An interrupt or a termination signal drops its future, which kills all
/// processes that it started.
async fn run_unless_interrupted(matches: &ArgMatches) -> Result<(), RunnerError> {
    let mut terminate = signal(SignalKind::terminate()).expect("a signal handler can be installed");
    tokio::select! {
        result = run(matches) => result,
        _ = tokio::signal::ctrl_c() => runner_error::InterruptedSnafu.fail(),
        _ = terminate.recv() => runner_error::InterruptedSnafu.fail(),
    }
}

async fn run(matches: &ArgMatches) -> Result<(), RunnerError> {
    match matches.subcommand() {
        Some(("demo", matches)) => {
            run_demo(DemoSettings {
                size: command_line::size_of_deployment(matches),
                binaries: command_line::binaries_of(matches),
            })
            .await
        }
        Some(("failures", matches)) => {
            let cases = command_line::cases_of(matches);
            run_failures(&cases, &command_line::binaries_of(matches)).await
        }
        _ => unreachable!("clap requires a known command"),
    }
}
