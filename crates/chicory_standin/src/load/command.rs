//! The `load` command.

use std::path::PathBuf;

use clap::{Arg, ArgMatches, Command, value_parser};
use snafu::Snafu;

use super::report::LoadSummary;
use super::{CallKind, KeyPattern, LoadConfig, LoadConfigBuilder, Pace, run_load};
use crate::history::HistoryError;
use crate::options::{flag, list, list_of, option, value};

/// Why a load run failed.
#[derive(Debug, Snafu)]
pub enum LoadError {
    /// The history can't be opened.
    #[snafu(transparent)]
    History {
        /// The error of the history.
        source: HistoryError,
    },
}

/// Creates the `load` command with its options.
#[must_use]
pub fn command() -> Command {
    Command::new("load")
        .about("Calls services and reports outcomes and latency")
        .arg(
            list(
                "to",
                "Addresses of entry processes, or of backend servers to call directly",
            )
            .required(true),
        )
        .arg(option("service", "Service").required(true))
        .arg(flag("orders", "Send orders, each with an Idempotency-Key"))
        .arg(number_option(
            "workers",
            "Closed loop with this many workers",
            "1",
        ))
        .arg(
            option("rate", "Open loop with this many calls a second instead")
                .value_parser(value_parser!(f64)),
        )
        .arg(duration_option(
            "duration",
            "Length of the run, such as 10s",
            "10s",
        ))
        .arg(number_option(
            "max-calls",
            "Calls after which the run ends; 0 for no limit",
            "0",
        ))
        .arg(number_option("keys", "Number of keys", "1000"))
        .arg(
            option("pattern", "How keys are chosen")
                .value_parser(["uniform", "zipf", "moving"])
                .default_value("uniform"),
        )
        .arg(float_option(
            "zipf-exponent",
            "Exponent of the zipf pattern",
            "1.0",
        ))
        .arg(number_option(
            "hot-keys",
            "Hot keys of the moving pattern",
            "10",
        ))
        .arg(float_option(
            "hot-share",
            "Share of calls to hot keys, 0 to 1",
            "0.8",
        ))
        .arg(number_option(
            "calls-per-move",
            "Calls until the hot keys change",
            "1000",
        ))
        .arg(number_option("seed", "Seed of the choice of keys", "1"))
        .arg(duration_option("deadline", "Deadline of each send", "2s"))
        .arg(number_option(
            "resends",
            "Maximum number of resends, each to the next address",
            "0",
        ))
        .arg(option("marker", "Additional path segment"))
        .arg(option("name", "Name of the caller in the history").default_value("1"))
        .arg(
            option("history", "File to append the history to, as JSON lines")
                .value_parser(value_parser!(PathBuf)),
        )
        .arg(output())
}

/// Creates the option that selects text or JSON as output.
#[must_use]
pub fn output() -> Arg {
    option("output", "Format of the output")
        .value_parser(["text", "json"])
        .default_value("text")
}

fn number_option(name: &'static str, help: &'static str, default: &'static str) -> Arg {
    option(name, help)
        .default_value(default)
        .value_parser(value_parser!(u64))
}

fn float_option(name: &'static str, help: &'static str, default: &'static str) -> Arg {
    option(name, help)
        .default_value(default)
        .value_parser(value_parser!(f64))
}

fn duration_option(name: &'static str, help: &'static str, default: &'static str) -> Arg {
    option(name, help)
        .default_value(default)
        .value_parser(value_parser!(humantime::Duration))
}

/// Runs the command.
///
/// # Errors
///
/// [`LoadError`] if the history can't be opened.
pub async fn run(matches: &ArgMatches) -> Result<(), LoadError> {
    let summary = run_load(config(matches)).await?;
    if value::<String>(matches, "output") == "json" {
        print_json(&summary);
    } else {
        print_text(&summary);
    }
    Ok(())
}

fn print_json(summary: &LoadSummary) {
    let text = serde_json::to_string(summary).expect("a summary is valid JSON");
    println!("{text}");
}

fn print_text(summary: &LoadSummary) {
    println!("calls           {}", summary.calls);
    println!("good            {}", summary.good);
    println!("broken answers  {}", summary.broken_answers);
    println!("good per second {:.1}", summary.good_per_s);
    print_counts("latency in µs", &summary.latency_us);
    print_counts("results", &summary.results);
    print_counts("servers", &summary.servers);
}

fn print_counts(title: &str, counts: &std::collections::BTreeMap<String, u64>) {
    println!("{title}");
    for (name, count) in counts {
        println!("  {name:<30} {count}");
    }
}

fn config(matches: &ArgMatches) -> LoadConfig {
    let service: String = value(matches, "service");
    LoadConfigBuilder::new(&service, list_of(matches, "to"))
        .with(|config| {
            config.call_kind = if matches.get_flag("orders") {
                CallKind::Orders
            } else {
                CallKind::Keys
            };
            config.pace = pace(matches);
            config.duration = value::<humantime::Duration>(matches, "duration").into();
            config.max_calls = value(matches, "max-calls");
            config.key_count = count(matches, "keys");
            config.pattern = pattern(matches);
            config.seed = value(matches, "seed");
            config.deadline = value::<humantime::Duration>(matches, "deadline").into();
            config.resends = count(matches, "resends");
            config.marker = matches.get_one("marker").cloned();
            config.name = value(matches, "name");
            config.history = matches.get_one("history").cloned();
        })
        .build()
}

fn pace(matches: &ArgMatches) -> Pace {
    match matches.get_one::<f64>("rate") {
        Some(rate_per_s) => Pace::Open {
            rate_per_s: *rate_per_s,
        },
        None => Pace::Closed {
            workers: count(matches, "workers"),
        },
    }
}

fn pattern(matches: &ArgMatches) -> KeyPattern {
    match value::<String>(matches, "pattern").as_str() {
        "zipf" => KeyPattern::Zipf {
            exponent: value(matches, "zipf-exponent"),
        },
        "moving" => KeyPattern::MovingHotSet {
            hot_keys: count(matches, "hot-keys"),
            hot_share: value(matches, "hot-share"),
            calls_per_move: value(matches, "calls-per-move"),
        },
        _ => KeyPattern::Uniform,
    }
}

fn count(matches: &ArgMatches, name: &str) -> usize {
    usize::try_from(value::<u64>(matches, name)).unwrap_or(usize::MAX)
}
