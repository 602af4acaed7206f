//! The first line of a trace.

use serde::{Deserialize, Serialize};

/// Version of the trace format that this build writes and reads.
pub const TRACE_VERSION: u32 = 2;

/// The kind of process that wrote a trace.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum TracedProcess {
    /// An entry process.
    Entry,
    /// A control process that started without stored state.
    Control,
}

/// The first line of a trace.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TraceHeader<C> {
    /// Version of the trace format.
    pub version: u32,
    /// The kind of process.
    pub process: TracedProcess,
    /// When the reducer was created, in nanoseconds of the process's monotonic time.
    pub started_ns: u64,
    /// The reducer's settings.
    pub config: C,
}
