//! Errors of requests to control processes.

use std::time::Duration;

use chicory_net::peer::PeerError;
use chicory_net::tls::TlsError;
use chicory_wire::proto::operator::OperatorError;
use snafu::Snafu;

use super::Attempt;
use super::attempt::refusal_text;

/// The reason why a request to the control processes failed.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum ClientError {
    /// The certificates can't be loaded or used.
    #[snafu(display("{source}"))]
    Tls {
        /// The cause.
        source: TlsError,
    },
    /// No local port could be bound.
    #[snafu(display("{source}"))]
    Bind {
        /// The cause.
        source: PeerError,
    },
    /// The metrics can't be created.
    #[snafu(display("{source}"))]
    Metrics {
        /// The cause.
        source: chicory_telemetry::MetricsError,
    },
    /// No process answered in time.
    #[snafu(display(
        "no control process answered within {} ms:{}",
        timeout.as_millis(),
        format_attempts(attempts)
    ))]
    NoAnswer {
        /// The last failed attempt with each process.
        attempts: Vec<Attempt>,
        /// How long the client tried.
        timeout: Duration,
        /// Whether the request may have reached a process that carried it out.
        may_have_arrived: bool,
    },
    /// The answer doesn't match the request.
    #[snafu(display(
        "the answer doesn't match the request; the process may run another version of the software"
    ))]
    UnexpectedAnswer,
    /// The process refused the request.
    #[snafu(display("{}", refusal_text(*error)))]
    Refused {
        /// The reason that the process gave.
        error: OperatorError,
    },
}

fn format_attempts(attempts: &[Attempt]) -> String {
    let lines = attempts.iter().map(|attempt| format!("\n  {attempt}"));
    lines.collect()
}
