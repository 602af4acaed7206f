//! Starts small deployments on loopback and checks their outcomes.

mod caller_side;
mod child_process;
mod command_line;
mod demo;
mod deployment;
mod failures;
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
        .expect("the runtime needs only the system's poller");
    let result = LocalSet::new().block_on(&runtime, run_unless_interrupted(&matches));
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("failed: {error}");
            ExitCode::FAILURE
        }
    }
}

/// Runs the command; on an interrupt everything it started is dropped, and so killed.
async fn run_unless_interrupted(matches: &ArgMatches) -> Result<(), RunnerError> {
    let mut terminate = signal(SignalKind::terminate()).expect("signals can be listened for");
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
                shape: command_line::shape_of(matches),
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
