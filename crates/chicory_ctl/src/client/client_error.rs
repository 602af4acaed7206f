//! Failures to get an answer from control processes.

use std::time::Duration;

use chicory_net::peer::PeerError;
use chicory_net::tls::TlsError;
use chicory_wire::proto::operator::OperatorError;
use snafu::Snafu;

use super::Attempt;
use super::attempt::refusal_text;

/// Why no control process answered.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum ClientError {
    /// The certificates can't be used.
    #[snafu(display("{source}"))]
    Tls {
        /// The cause.
        source: TlsError,
    },
    /// No local port can be used.
    #[snafu(display("{source}"))]
    Bind {
        /// The cause.
        source: PeerError,
    },
    /// The counters can't be made.
    #[snafu(display("{source}"))]
    Metrics {
        /// The cause.
        source: chicory_telemetry::MetricsError,
    },
    /// No process gave an answer in time.
    #[snafu(display(
        "no control process answered within {} ms:{}",
        timeout.as_millis(),
        format_attempts(attempts)
    ))]
    NoAnswer {
        /// The last failure with each process.
        attempts: Vec<Attempt>,
        /// How long was tried.
        timeout: Duration,
        /// Whether a process may have carried the request out.
        may_have_arrived: bool,
    },
    /// The answer isn't one to the request.
    #[snafu(display("the answer isn't one to the request; is the process of another version?"))]
    UnexpectedAnswer,
    /// The process refused the request.
    #[snafu(display("{}", refusal_text(*error)))]
    Refused {
        /// Why.
        error: OperatorError,
    },
}

fn format_attempts(attempts: &[Attempt]) -> String {
    let lines = attempts.iter().map(|attempt| format!("\n  {attempt}"));
    lines.collect()
}
