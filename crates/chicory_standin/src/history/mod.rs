//! The history format: what callers, backend servers and operators saw, one JSON line an event.

mod event;
mod record;
mod recorder;

pub use event::HistoryEvent;
pub use record::HistoryRecord;
pub use recorder::{HistoryError, Recorder};
pub(crate) use recorder::{MalformedSnafu, OpenSnafu};
