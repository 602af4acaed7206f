//! Errors that make a run fail.

use std::path::PathBuf;
use std::process::ExitStatus;
use std::time::Duration;

use chicory_standin::history::HistoryError;
use snafu::Snafu;

/// An error that makes a run fail.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum RunnerError {
    /// A file or folder can't be used.
    #[snafu(display("{}: {source}", path.display()))]
    File {
        /// Path of the file or folder.
        path: PathBuf,
        /// The error of the operating system.
        source: std::io::Error,
    },
    /// A process can't be started or signalled.
    #[snafu(display("{name}: {source}"))]
    Process {
        /// Name of the process.
        name: String,
        /// The error of the operating system.
        source: std::io::Error,
    },
    /// A process ended on its own, or a stopped one with an exit code other than 0.
    #[snafu(display("{name} ended with {status}; the last part of its log:\n{log}"))]
    Ended {
        /// Name of the process.
        name: String,
        /// Its exit status.
        status: ExitStatus,
        /// The last part of its log.
        log: String,
    },
    /// A command failed.
    #[snafu(display("{command} failed with {status}: {output}"))]
    Command {
        /// The command with its arguments.
        command: String,
        /// Its exit status.
        status: ExitStatus,
        /// What it printed.
        output: String,
    },
    /// An expected event did not happen in time.
    #[snafu(display(
        "timed out after {} ms waiting for {what}; last result: {last}",
        timeout.as_millis()
    ))]
    TimedOut {
        /// The event that was waited for.
        what: String,
        /// The time limit.
        timeout: Duration,
        /// What the last check found.
        last: String,
    },
    /// An outcome differs from the expected one.
    #[snafu(display("expected {expected}, found {found}"))]
    Unexpected {
        /// The expected outcome.
        expected: String,
        /// The actual outcome.
        found: String,
    },
    /// A history can't be read or written.
    #[snafu(context(false), display("{source}"))]
    History {
        /// The cause.
        source: HistoryError,
    },
    /// The run was interrupted.
    #[snafu(display("interrupted"))]
    Interrupted,
}
