//! A trace that is read back.

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

/// The part of a header that every version has.
#[derive(Deserialize)]
struct HeaderStart {
    version: u32,
    process: TracedProcess,
}

/// A trace that is read back.
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
    /// Reads a trace file of a kind of process.
    ///
    /// # Errors
    ///
    /// [`TraceError`] where the file can't be read, has another version or kind, or holds a line
    /// that can't be read. A last line without its end is passed over, since a process may be
    /// killed while it writes.
    pub fn open(path: &Path, process: TracedProcess) -> Result<Self, TraceError> {
        let file = File::open(path).context(FileSnafu)?;
        Self::read(BufReader::new(file), process)
    }

    /// Reads a trace from any reader.
    ///
    /// # Errors
    ///
    /// As [`open`](Self::open).
    pub fn read(mut reader: impl BufRead, process: TracedProcess) -> Result<Self, TraceError> {
        let mut text = String::new();
        reader.read_to_string(&mut text).context(FileSnafu)?;
        let mut lines = text.split_inclusive('\n').enumerate();
        let (_, header) = lines.next().context(EmptySnafu)?;
        let header = Self::read_header(header, process)?;
        let whole = lines.filter(|(_, line)| line.ends_with('\n'));
        let lines = whole
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
        let start: HeaderStart =
            serde_json::from_str(header).context(BadLineSnafu { line: 1_usize })?;
        ensure!(
            start.version == TRACE_VERSION,
            WrongVersionSnafu {
                expected: TRACE_VERSION,
                found: start.version,
            }
        );
        ensure!(
            start.process == process,
            WrongProcessSnafu {
                expected: process,
                found: start.process,
            }
        );
        serde_json::from_str(header).context(BadLineSnafu { line: 1_usize })
    }
}
