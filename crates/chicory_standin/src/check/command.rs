//! The `check` command.

use std::path::PathBuf;

use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};

use super::{CheckReport, check_records, read_histories};
use crate::history::HistoryError;
use crate::load::output;
use crate::options::{list, list_of, value};

/// Maximum number of violations that are printed as text.
const MAX_PRINTED_VIOLATIONS: usize = 20;

/// The result of a check.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CheckOutcome {
    /// No violation was found.
    Clean,
    /// At least one violation was found.
    Violated,
}

/// Creates the `check` command with its options.
#[must_use]
pub fn command() -> Command {
    Command::new("check")
        .about("Checks a run by its histories")
        .long_about(
            "Checks a run by its histories. Exits with 0 if no violation was found, 1 if at least \
             one was found, and 2 if a history can't be read.",
        )
        .arg(
            Arg::new("history")
                .long("history")
                .help("Histories of servers, callers and operators")
                .num_args(1..)
                .action(ArgAction::Append)
                .required(true)
                .value_parser(value_parser!(PathBuf)),
        )
        .arg(list(
            "keyed",
            "Services whose keys must have one owner at a time",
        ))
        .arg(output())
}

/// Runs the command.
///
/// # Errors
///
/// [`HistoryError`] if a history can't be read.
pub fn run(matches: &ArgMatches) -> Result<CheckOutcome, HistoryError> {
    let paths = matches.get_many::<PathBuf>("history");
    let paths: Vec<PathBuf> = paths.unwrap_or_default().cloned().collect();
    let records = read_histories(&paths)?;
    let keyed = list_of(matches, "keyed").into_iter().collect();
    let report = check_records(&records, &keyed);
    if value::<String>(matches, "output") == "json" {
        print_json(&report);
    } else {
        print_text(&report);
    }
    Ok(if report.is_clean {
        CheckOutcome::Clean
    } else {
        CheckOutcome::Violated
    })
}

fn print_json(report: &CheckReport) {
    let text = serde_json::to_string(report).expect("a check report is valid JSON");
    println!("{text}");
}

fn print_text(report: &CheckReport) {
    println!(
        "{} records, {} runs, {} grants",
        report.records, report.runs, report.grant_spans
    );
    for (name, figures) in &report.services {
        println!(
            "{name}: {} runs on {} servers, imbalance {:.2}, {} owner changes, unavailable {} ms \
             over all keys, {} ms at most, {} keys at the end; outcomes {:?}",
            figures.runs,
            figures.runs_by_server.len(),
            figures.imbalance,
            figures.owner_changes,
            figures.unavailable_ms,
            figures.longest_unavailable_ms,
            figures.unavailable_keys_at_end,
            figures.outcomes,
        );
    }
    println!("{} violations", report.violations.len());
    for violation in report.violations.iter().take(MAX_PRINTED_VIOLATIONS) {
        println!("  {violation}");
    }
}
