//! Why a trace can't be written or read.

use std::io;

use snafu::Snafu;

use crate::TracedProcess;

/// Why a trace can't be written or read.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum TraceError {
    /// The file can't be created, read or written.
    #[snafu(display("trace file: {source}"))]
    File {
        /// Cause.
        source: io::Error,
    },
    /// A line isn't what the form says.
    #[snafu(display("trace line {line}: {source}"))]
    BadLine {
        /// Number of the line, from 1.
        line: usize,
        /// Cause.
        source: serde_json::Error,
    },
    /// The settings or an event can't be written as JSON.
    #[snafu(display("trace: {source}"))]
    Encode {
        /// Cause.
        source: serde_json::Error,
    },
    /// The file holds no header.
    #[snafu(display("the trace is empty"))]
    Empty,
    /// The trace has another form.
    #[snafu(display("the trace has version {found}, this build reads version {expected}"))]
    WrongVersion {
        /// Version of this build.
        expected: u32,
        /// Version of the file.
        found: u32,
    },
    /// The trace is of another kind of process.
    #[snafu(display("the trace is of the process {found:?}, not of {expected:?}"))]
    WrongProcess {
        /// The kind that was asked for.
        expected: TracedProcess,
        /// The kind of the file.
        found: TracedProcess,
    },
}
