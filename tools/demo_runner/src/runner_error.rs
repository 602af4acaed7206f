//! Why a run failed.

use std::path::PathBuf;
use std::process::ExitStatus;
use std::time::Duration;

use chicory_standin::history::HistoryError;
use snafu::Snafu;

/// Why a run failed.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum RunnerError {
    /// A file or folder can't be used.
    #[snafu(display("{}: {source}", path.display()))]
    File {
        /// The path.
        path: PathBuf,
        /// The system's error.
        source: std::io::Error,
    },
    /// A process can't be started or signalled.
    #[snafu(display("{name}: {source}"))]
    Process {
        /// The process.
        name: String,
        /// The system's error.
        source: std::io::Error,
    },
    /// A process ended on its own.
    #[snafu(display("{name} ended with {status}; its log ends with\n{log}"))]
    Ended {
        /// The process.
        name: String,
        /// How it ended.
        status: ExitStatus,
        /// End of its log.
        log: String,
    },
    /// A command failed.
    #[snafu(display("{command} failed with {status}: {output}"))]
    Command {
        /// The command.
        command: String,
        /// How it ended.
        status: ExitStatus,
        /// What it printed.
        output: String,
    },
    /// Something didn't happen in time.
    #[snafu(display("{what} didn't happen within {} ms; {last}", timeout.as_millis()))]
    TimedOut {
        /// What was waited for.
        what: String,
        /// The time that it had.
        timeout: Duration,
        /// What was seen last.
        last: String,
    },
    /// Something else happened than was stated.
    #[snafu(display("expected {expected}, found {found}"))]
    Unexpected {
        /// What was stated.
        expected: String,
        /// What happened.
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
