//! Replays one trace and prints its outcomes, or compares them with a file of expected outcomes.

use std::path::{Path, PathBuf};
use std::process::ExitCode;

use clap::{Arg, ArgMatches, Command, value_parser};
use trace_replay::{ReplayError, replay_control, replay_entry};

fn main() -> ExitCode {
    let matches = command().get_matches();
    let outcomes = match replay(&matches) {
        Ok(outcomes) => outcomes,
        Err(error) => {
            eprintln!("{error}");
            return ExitCode::FAILURE;
        }
    };
    if let Some(path) = matches.get_one::<PathBuf>("outcomes") {
        return compare(&outcomes, path);
    }
    for outcome in outcomes {
        println!("{outcome}");
    }
    ExitCode::SUCCESS
}

fn command() -> Command {
    Command::new("trace_replay")
        .about("Replays a recorded trace and shows the outcomes that others could observe")
        .arg(
            Arg::new("process")
                .value_parser(["entry", "control"])
                .required(true)
                .help("Kind of the process that wrote the trace"),
        )
        .arg(
            Arg::new("trace")
                .value_parser(value_parser!(PathBuf))
                .required(true)
                .help("The trace file"),
        )
        .arg(
            Arg::new("outcomes")
                .long("outcomes")
                .value_parser(value_parser!(PathBuf))
                .help("File with the expected outcomes; the first difference is shown"),
        )
}

fn replay(matches: &ArgMatches) -> Result<Vec<String>, ReplayError> {
    let trace = matches
        .get_one::<PathBuf>("trace")
        .expect("clap requires the trace");
    match matches.get_one::<String>("process").map(String::as_str) {
        Some("entry") => replay_entry(trace),
        _ => replay_control(trace),
    }
}

fn compare(outcomes: &[String], path: &Path) -> ExitCode {
    let expected_text = match std::fs::read_to_string(path) {
        Ok(text) => text,
        Err(error) => {
            eprintln!("{}: {error}", path.display());
            return ExitCode::FAILURE;
        }
    };
    let expected_lines: Vec<&str> = expected_text.lines().collect();
    let length = expected_lines.len().max(outcomes.len());
    for index in 0..length {
        let expected = expected_lines.get(index).copied();
        let found = outcomes.get(index).map(String::as_str);
        if expected != found {
            eprintln!(
                "line {}: expected {expected:?}, replayed {found:?}",
                index + 1
            );
            return ExitCode::FAILURE;
        }
    }
    println!("{length} outcomes as expected");
    ExitCode::SUCCESS
}
