//! The `server` command.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::{Duration, SystemTime};

use clap::{Arg, ArgMatches, Command, value_parser};
use serde_json::json;

use super::listener::StartError;
use super::{ServerConfig, ServerConfigBuilder, ServiceTime, start_server};
use crate::options::{flag, list, list_of, option, value};

/// Creates the `server` command with its options.
#[must_use]
pub fn command() -> Command {
    Command::new("server")
        .about("Runs backend servers that announce themselves")
        .long_about(
            "Runs backend servers that announce themselves. Once all of them listen, prints one \
             JSON line with the name and address of each server and one with the control address.",
        )
        .arg(option("service", "Service that the servers serve").required(true))
        .arg(option("zone", "Availability zone").required(true))
        .arg(option(
            "name",
            "Name of the server; numbered if --count is above 1",
        ))
        .arg(number_option("count", "Number of servers", "1", 1..=1000))
        .arg(
            option("listen", "Host and port for requests")
                .default_value("127.0.0.1:0")
                .value_parser(value_parser!(SocketAddr)),
        )
        .arg(
            option("control-listen", "Host and port for changes of behaviour")
                .default_value("127.0.0.1:0")
                .value_parser(value_parser!(SocketAddr)),
        )
        .arg(list(
            "announce",
            "Addresses of the announce listeners of entry processes",
        ))
        .arg(number_option(
            "slots",
            "Requests that a server runs at a time",
            "3",
            1..=10_000,
        ))
        .arg(number_option(
            "connections",
            "Connections that a server accepts",
            "100",
            1..=100_000,
        ))
        .arg(
            option("service-time", "Time that a request takes, such as 5ms")
                .default_value("1ms")
                .value_parser(value_parser!(humantime::Duration)),
        )
        .arg(flag(
            "exponential",
            "Draw service times from an exponential distribution with --service-time as mean",
        ))
        .arg(number_option(
            "seed",
            "Seed of the service times",
            "1",
            0..=i64::MAX,
        ))
        .arg(number_option(
            "answer-bytes",
            "Length of an answer in bytes",
            "256",
            128..=i64::MAX,
        ))
        .arg(flag(
            "checks-grants",
            "Refuse requests without a current fencing token",
        ))
        .arg(
            option(
                "incarnation",
                "Incarnation of the servers; the wall clock in ms by default",
            )
            .value_parser(value_parser!(u64)),
        )
        .arg(
            option("history", "File to append the history to, as JSON lines")
                .value_parser(value_parser!(PathBuf)),
        )
}

fn number_option(
    name: &'static str,
    help: &'static str,
    default: &'static str,
    range: std::ops::RangeInclusive<i64>,
) -> Arg {
    option(name, help)
        .default_value(default)
        .value_parser(value_parser!(i64).range(range))
}

/// Runs the command until the process ends.
///
/// # Errors
///
/// [`StartError`] if an address or the history can't be opened.
pub async fn run(matches: &ArgMatches) -> Result<(), StartError> {
    let running = start_server(&config(matches)).await?;
    for server in &running.servers {
        let line = json!({"server": server.name, "address": server.address});
        println!("{line}");
    }
    println!(
        "{}",
        json!({"control": running.control_address.to_string()})
    );
    std::future::pending().await
}

fn config(matches: &ArgMatches) -> ServerConfig {
    let service: String = value(matches, "service");
    let zone: String = value(matches, "zone");
    let name = matches.get_one::<String>("name").cloned();
    ServerConfigBuilder::new(&service, &zone)
        .with(|config| {
            config.name = name.unwrap_or(service.clone());
            config.count = clamped(matches, "count");
            config.listen = value(matches, "listen");
            config.control_listen = value(matches, "control-listen");
            config.announce = list_of(matches, "announce");
            config.slots = clamped(matches, "slots");
            config.connections = clamped(matches, "connections");
            config.service_time = service_time(matches);
            config.seed = clamped(matches, "seed");
            config.answer_bytes = clamped(matches, "answer-bytes");
            config.checks_grants = matches.get_flag("checks-grants");
            config.incarnation = incarnation(matches);
            config.history = matches.get_one::<PathBuf>("history").cloned();
        })
        .build()
}

fn clamped<T: TryFrom<i64> + Default>(matches: &ArgMatches, name: &str) -> T {
    T::try_from(value::<i64>(matches, name)).unwrap_or_default()
}

fn service_time(matches: &ArgMatches) -> ServiceTime {
    let time = value::<humantime::Duration>(matches, "service-time").into();
    if matches.get_flag("exponential") {
        ServiceTime::Exponential(time)
    } else {
        ServiceTime::Fixed(time)
    }
}

fn incarnation(matches: &ArgMatches) -> u64 {
    let given = matches.get_one::<u64>("incarnation").copied();
    given.unwrap_or_else(|| {
        let since_epoch = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
        let since_epoch: Duration = since_epoch.unwrap_or_default();
        u64::try_from(since_epoch.as_millis()).unwrap_or(u64::MAX)
    })
}
