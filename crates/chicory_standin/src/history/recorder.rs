//! The writer of a history.

use std::cell::RefCell;
use std::fs::{File, OpenOptions};
use std::io::Write;
use std::path::{Path, PathBuf};
use std::time::{Duration, Instant, SystemTime};

use snafu::{ResultExt, Snafu};

use super::{HistoryEvent, HistoryRecord};

/// An error while a history is written or read.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum HistoryError {
    /// The file can't be opened or read.
    #[snafu(display("can't open history {}: {source}", path.display()))]
    Open {
        /// The file.
        path: PathBuf,
        /// The system's error.
        source: std::io::Error,
    },
    /// A line isn't a valid record.
    #[snafu(display("line {line} of history {} is malformed: {source}", path.display()))]
    Malformed {
        /// The file.
        path: PathBuf,
        /// Line number, from 1.
        line: usize,
        /// The parser's error.
        source: serde_json::Error,
    },
}

/// Writes a history and provides the clock for its times.
///
/// The clock reads the wall clock once at the start and advances it by the monotonic clock. It
/// therefore never steps back within a process, and the times of two processes on one machine can
/// be compared.
#[derive(Debug)]
pub struct Recorder {
    file: Option<RefCell<File>>,
    start: Instant,
    start_since_epoch: Duration,
}

impl Recorder {
    /// Creates a recorder that appends to the file at `path`, or writes nothing without a path.
    ///
    /// # Errors
    ///
    /// [`HistoryError::Open`] if the file can't be opened.
    pub fn open(path: Option<&Path>) -> Result<Self, HistoryError> {
        let file = path
            .map(|path| {
                let mut options = OpenOptions::new();
                options.create(true).append(true);
                options.open(path).context(OpenSnafu { path })
            })
            .transpose()?;
        let since_epoch = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
        Ok(Self {
            file: file.map(RefCell::new),
            start: Instant::now(),
            start_since_epoch: since_epoch.unwrap_or_default(),
        })
    }

    /// Returns the current time on the history's clock, in nanoseconds.
    #[must_use]
    pub fn now_ns(&self) -> u64 {
        self.at_ns(Instant::now())
    }

    /// Returns the time `at` on the history's clock, in nanoseconds.
    #[must_use]
    pub fn at_ns(&self, at: Instant) -> u64 {
        let since_epoch = self.start_since_epoch + at.saturating_duration_since(self.start);
        u64::try_from(since_epoch.as_nanos()).unwrap_or(u64::MAX)
    }

    /// Creates a record with the current time and none of the optional fields.
    #[must_use]
    pub fn record(&self, who: &str, event: HistoryEvent) -> HistoryRecord {
        HistoryRecord::new(self.now_ns(), who, event)
    }

    /// Writes one line.
    ///
    /// # Panics
    ///
    /// Panics if the line can't be written, because a run with an incomplete history must not be
    /// checked.
    pub fn write(&self, record: &HistoryRecord) {
        let Some(file) = &self.file else { return };
        let mut line = serde_json::to_vec(record).expect("a record is always valid JSON");
        line.push(b'\n');
        file.borrow_mut()
            .write_all(&line)
            .expect("the history must be complete");
    }
}
