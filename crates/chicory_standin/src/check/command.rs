//! The `check` command.

use std::path::PathBuf;

use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};

use super::{CheckReport, check_records, read_histories};
use crate::history::HistoryError;
use crate::load::output;
use crate::options::{list, list_of, value};

/// Most violations that are printed as text.
const MAX_PRINTED_VIOLATIONS: usize = 20;

/// What a judged run comes to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CheckOutcome {
    /// Nothing was found that must never be.
    Clean,
    /// Something was.
    Violated,
}

/// The `check` command with its options.
#[must_use]
pub fn command() -> Command {
    Command::new("check")
        .about("Judges a run by its histories")
        .long_about(
            "Judges a run by its histories. Exits with 0 if nothing was found that must never \
             be, 1 if something was, and 2 if a history can't be read.",
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
            "Services whose keys have one owner at a time",
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
    let verdict = check_records(&records, &keyed);
    if value::<String>(matches, "output") == "json" {
        print_json(&verdict);
    } else {
        print_text(&verdict);
    }
    Ok(if verdict.is_clean {
        CheckOutcome::Clean
    } else {
        CheckOutcome::Violated
    })
}

fn print_json(verdict: &CheckReport) {
    let text = serde_json::to_string(verdict).expect("a verdict is valid JSON");
    println!("{text}");
}

fn print_text(verdict: &CheckReport) {
    println!(
        "{} records, {} runs, {} grants",
        verdict.records, verdict.runs, verdict.grant_spans
    );
    for (name, figures) in &verdict.services {
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
    println!("{} violations", verdict.violations.len());
    for violation in verdict.violations.iter().take(MAX_PRINTED_VIOLATIONS) {
        println!("  {violation}");
    }
}
