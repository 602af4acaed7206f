//! Writing of traces.

use std::fs::File;
use std::io::{BufWriter, Write};
use std::marker::PhantomData;
use std::path::Path;

use chicory_types::MonoTime;
use serde::Serialize;
use snafu::ResultExt;

use crate::trace_error::{EncodeSnafu, FileSnafu};
use crate::{EventTrace, TRACE_VERSION, TraceError, TraceHeader, TraceLine, TracedProcess};

/// A recorder that writes the events of a reducer to a trace.
///
/// After a failed write nothing more is recorded, since a full disk must not stop the process.
pub struct TraceWriter<E> {
    file: Option<BufWriter<Box<dyn Write + Send>>>,
    events: PhantomData<fn(E)>,
}

impl<E> TraceWriter<E> {
    /// Creates a trace file and writes its header.
    ///
    /// # Errors
    ///
    /// Returns [`TraceError`] if the file can't be written.
    pub fn create<C: Serialize>(
        path: &Path,
        process: TracedProcess,
        started_at: MonoTime,
        config: &C,
    ) -> Result<Self, TraceError> {
        let file = File::create(path).context(FileSnafu)?;
        Self::new(Box::new(file), process, started_at, config)
    }

    /// Creates a trace on any writer and writes its header.
    ///
    /// # Errors
    ///
    /// Returns [`TraceError`] if the header can't be written.
    pub fn new<C: Serialize>(
        writer: Box<dyn Write + Send>,
        process: TracedProcess,
        started_at: MonoTime,
        config: &C,
    ) -> Result<Self, TraceError> {
        let mut file = BufWriter::new(writer);
        let header = TraceHeader {
            version: TRACE_VERSION,
            process,
            started_ns: nanoseconds(started_at),
            config,
        };
        serde_json::to_writer(&mut file, &header).context(EncodeSnafu)?;
        file.write_all(b"\n").context(FileSnafu)?;
        file.flush().context(FileSnafu)?;
        Ok(Self {
            file: Some(file),
            events: PhantomData,
        })
    }
}

impl<E: Serialize> EventTrace<E> for TraceWriter<E> {
    fn record(&mut self, now: MonoTime, event: &E) {
        let Some(file) = &mut self.file else {
            return;
        };
        let line = TraceLine {
            now_ns: nanoseconds(now),
            event,
        };
        let written = serde_json::to_writer(&mut *file, &line)
            .map_err(std::io::Error::from)
            .and_then(|()| file.write_all(b"\n"));
        if written.is_err() {
            self.file = None;
        }
    }
}

fn nanoseconds(at: MonoTime) -> u64 {
    u64::try_from(at.as_nanos()).unwrap_or(u64::MAX)
}
