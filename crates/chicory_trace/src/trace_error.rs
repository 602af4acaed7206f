//! Errors of writing and reading traces.

use std::io;

use snafu::Snafu;

use crate::TracedProcess;

/// An error of writing or reading a trace.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum TraceError {
    /// The file can't be created, read or written.
    #[snafu(display("cannot create, read or write the trace file: {source}"))]
    File {
        /// Cause.
        source: io::Error,
    },
    /// A line doesn't match the trace format.
    #[snafu(display("line {line} of the trace doesn't match the format: {source}"))]
    BadLine {
        /// Number of the line, from 1.
        line: usize,
        /// Cause.
        source: serde_json::Error,
    },
    /// The settings or an event can't be written as JSON.
    #[snafu(display("cannot encode the trace as JSON: {source}"))]
    Encode {
        /// Cause.
        source: serde_json::Error,
    },
    /// The file has no header.
    #[snafu(display("the trace is empty"))]
    Empty,
    /// The trace has another format version than this build reads.
    #[snafu(display("the trace has version {found}, this build reads version {expected}"))]
    WrongVersion {
        /// Version that this build reads.
        expected: u32,
        /// Version in the header of the file.
        found: u32,
    },
    /// The trace was written by another kind of process.
    #[snafu(display("the trace was written by a process of kind {found:?}, not {expected:?}"))]
    WrongProcess {
        /// The expected kind of process.
        expected: TracedProcess,
        /// The kind of process in the header of the file.
        found: TracedProcess,
    },
}
