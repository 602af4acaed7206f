//! The history format: events that callers, backend servers and operators observed, each on a JSON
//! line of its own.

mod event;
mod record;
mod recorder;

pub use event::HistoryEvent;
pub use record::HistoryRecord;
pub use recorder::{HistoryError, Recorder};
pub(crate) use recorder::{MalformedSnafu, OpenSnafu};
