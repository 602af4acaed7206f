//! Traces of a reducer's events, written by the processes and read by the replay tool.
//!
//! A reducer is a pure function of its settings and its events, so a trace of both is enough to
//! reproduce everything that the process did. A trace is a file of JSON lines: a header with the
//! format version, the kind of process and its settings, then one line per event with its time.

mod event_trace;
mod trace_error;
mod trace_header;
mod trace_line;
mod trace_reader;
mod trace_writer;

pub use event_trace::{EventTrace, NoTrace};
pub use trace_error::TraceError;
pub use trace_header::{TRACE_VERSION, TraceHeader, TracedProcess};
pub use trace_line::TraceLine;
pub use trace_reader::TraceReader;
pub use trace_writer::TraceWriter;
