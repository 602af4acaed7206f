//! A trace in a file.

use std::fs::File;
use std::io::{self, BufWriter, Write};
use std::path::Path;

use chicory_dispatch::Event;
use chicory_types::MonoTime;
use serde::Serialize;

use crate::trace::EventTrace;

/// Version of the form of trace lines.
const TRACE_VERSION: u32 = 1;

/// Writes events to a file, one JSON object a line.
#[derive(Debug)]
pub(crate) struct FileTrace {
    writer: BufWriter<File>,
}

/// One line of the trace.
#[derive(Debug, Serialize)]
struct TraceLine {
    version: u32,
    now_ns: u128,
    /// The event in the form that `Debug` gives it.
    event: String,
}

impl FileTrace {
    pub(crate) fn create(path: &Path) -> io::Result<Self> {
        let writer = BufWriter::new(File::create(path)?);
        Ok(Self { writer })
    }

    fn write(&mut self, line: &TraceLine) -> io::Result<()> {
        serde_json::to_writer(&mut self.writer, line)?;
        self.writer.write_all(b"\n")
    }
}

impl EventTrace for FileTrace {
    fn record(&mut self, now: MonoTime, event: &Event) {
        let line = TraceLine {
            version: TRACE_VERSION,
            now_ns: now.as_nanos(),
            event: format!("{event:?}"),
        };
        // A full disk must not stop requests.
        let _ = self.write(&line);
    }
}
