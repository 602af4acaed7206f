//! Development stand-ins for backend servers and callers, and the judge of their histories.

use std::process::ExitCode;

use chicory_standin::server;
use clap::Command;
use tokio::task::LocalSet;

/// Exit code of a command that could not do its work.
const EXIT_FAILED: u8 = 2;

fn main() -> ExitCode {
    let matches = Command::new("chicory-standin")
        .version(env!("CARGO_PKG_VERSION"))
        .about("Development stand-ins for backend servers and callers")
        .subcommand_required(true)
        .subcommand(server::command())
        .get_matches();
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("the runtime needs only the system's poller");
    let result = match matches.subcommand() {
        Some(("server", matches)) => LocalSet::new().block_on(&runtime, server::run(matches)),
        _ => unreachable!("clap requires a known command"),
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("chicory-standin: {error}");
            ExitCode::from(EXIT_FAILED)
        }
    }
}
