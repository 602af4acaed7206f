//! Traces of everything that happens to the reducer.

mod event_trace;
mod file_trace;
mod no_trace;

use std::path::Path;

use snafu::ResultExt;

use crate::entry_error::{EntryError, TraceSnafu};

pub(crate) use event_trace::EventTrace;
use file_trace::FileTrace;
use no_trace::NoTrace;

/// Opens the trace file, where there is one.
pub(crate) fn open_trace(path: Option<&Path>) -> Result<Box<dyn EventTrace>, EntryError> {
    match path {
        Some(path) => Ok(Box::new(FileTrace::create(path).context(TraceSnafu)?)),
        None => Ok(Box::new(NoTrace)),
    }
}
