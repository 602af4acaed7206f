//! Reading of traces.

use std::fs::File;
use std::io::{BufRead, BufReader};
use std::path::Path;
use std::time::Duration;

use chicory_types::MonoTime;
use serde::Deserialize;
use serde::de::DeserializeOwned;
use snafu::{OptionExt, ResultExt, ensure};

use crate::trace_error::{
    BadLineSnafu, EmptySnafu, FileSnafu, WrongProcessSnafu, WrongVersionSnafu,
};
use crate::{TRACE_VERSION, TraceError, TraceHeader, TraceLine, TracedProcess};

/// The fields of a header that every version of the format has.
#[derive(Deserialize)]
struct CommonHeader {
    version: u32,
    process: TracedProcess,
}

/// A trace that has been read from a file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TraceReader<C, E> {
    /// When the reducer was created.
    pub started_at: MonoTime,
    /// The reducer's settings.
    pub config: C,
    /// The events, in order.
    pub lines: Vec<TraceLine<E>>,
}

impl<C: DeserializeOwned, E: DeserializeOwned> TraceReader<C, E> {
    /// Reads the trace file of a process of kind `process`.
    ///
    /// An incomplete last line is skipped, since a process may be killed while it writes one.
    ///
    /// # Errors
    ///
    /// Returns [`TraceError`] if the file can't be read, has another format version, was written by
    /// another kind of process, or contains a line that doesn't match the format.
    pub fn open(path: &Path, process: TracedProcess) -> Result<Self, TraceError> {
        let file = File::open(path).context(FileSnafu)?;
        Self::read(BufReader::new(file), process)
    }

    /// Reads a trace from any reader.
    ///
    /// # Errors
    ///
    /// Returns the same errors as [`open`](Self::open).
    pub fn read(mut reader: impl BufRead, process: TracedProcess) -> Result<Self, TraceError> {
        let mut text = String::new();
        reader.read_to_string(&mut text).context(FileSnafu)?;
        let mut lines = text.split_inclusive('\n').enumerate();
        let (_, header) = lines.next().context(EmptySnafu)?;
        let header = Self::read_header(header, process)?;
        let complete_lines = lines.filter(|(_, line)| line.ends_with('\n'));
        let lines = complete_lines
            .map(|(index, line)| {
                serde_json::from_str(line).context(BadLineSnafu { line: index + 1 })
            })
            .collect::<Result<_, _>>()?;
        Ok(Self {
            started_at: Duration::from_nanos(header.started_ns),
            config: header.config,
            lines,
        })
    }

    fn read_header(header: &str, process: TracedProcess) -> Result<TraceHeader<C>, TraceError> {
        let common_header: CommonHeader =
            serde_json::from_str(header).context(BadLineSnafu { line: 1_usize })?;
        ensure!(
            common_header.version == TRACE_VERSION,
            WrongVersionSnafu {
                expected: TRACE_VERSION,
                found: common_header.version,
            }
        );
        ensure!(
            common_header.process == process,
            WrongProcessSnafu {
                expected: process,
                found: common_header.process,
            }
        );
        serde_json::from_str(header).context(BadLineSnafu { line: 1_usize })
    }
}
