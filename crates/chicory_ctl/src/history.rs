//! The history of an operator's edits, from which tests check a run.

use std::cell::RefCell;
use std::fs::{File, OpenOptions};
use std::io::Write;
use std::path::Path;
use std::time::{Duration, Instant, SystemTime};

use chicory_types::{EditId, OperatorName, Revision, ZoneName};
use serde::Serialize;

/// Writes edits, their answers and the revisions in force to a file as JSON lines.
///
/// The times are those of the wall clock when the history was opened, advanced by the monotonic
/// clock, so that a clock adjustment can't change their order.
#[derive(Debug)]
pub struct EditHistory {
    file: Option<RefCell<File>>,
    who: String,
    start: Instant,
    start_since_epoch: Duration,
}

#[derive(Debug, Serialize)]
struct HistoryLine<'a> {
    mono_ns: u64,
    who: &'a str,
    event: &'static str,
    #[serde(skip_serializing_if = "Option::is_none")]
    edit_id: Option<&'a EditId>,
    #[serde(skip_serializing_if = "Option::is_none")]
    revision: Option<Revision>,
    #[serde(skip_serializing_if = "Option::is_none")]
    zone: Option<&'a ZoneName>,
}

impl EditHistory {
    /// Opens a history that appends to the file at `path`, or one that writes nothing if `path` is
    /// `None`.
    ///
    /// # Errors
    ///
    /// Returns the I/O error if the file can't be opened.
    pub fn open(operator: &OperatorName, path: Option<&Path>) -> std::io::Result<Self> {
        let file = path
            .map(|path| OpenOptions::new().create(true).append(true).open(path))
            .transpose()?;
        let since_epoch = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
        Ok(Self {
            file: file.map(RefCell::new),
            who: format!("operator:{operator}"),
            start: Instant::now(),
            start_since_epoch: since_epoch.unwrap_or_default(),
        })
    }

    /// Records that an edit is about to be sent.
    ///
    /// # Errors
    ///
    /// Returns the I/O error if the line can't be written.
    pub fn edit_sent(&self, edit_id: &EditId) -> std::io::Result<()> {
        self.write(&HistoryLine {
            edit_id: Some(edit_id),
            ..self.line_of_event("edit_sent")
        })
    }

    /// Records that an edit was answered, with the new revision if the edit was accepted.
    ///
    /// # Errors
    ///
    /// Returns the I/O error if the line can't be written.
    pub fn edit_answered(
        &self,
        edit_id: &EditId,
        revision: Option<Revision>,
    ) -> std::io::Result<()> {
        self.write(&HistoryLine {
            edit_id: Some(edit_id),
            revision,
            ..self.line_of_event("edit_answered")
        })
    }

    /// Records the revision that an availability zone has in force.
    ///
    /// # Errors
    ///
    /// Returns the I/O error if the line can't be written.
    pub fn revision_seen(&self, zone: &ZoneName, revision: Revision) -> std::io::Result<()> {
        self.write(&HistoryLine {
            zone: Some(zone),
            revision: Some(revision),
            ..self.line_of_event("revision_seen")
        })
    }

    fn line_of_event(&self, event: &'static str) -> HistoryLine<'_> {
        let since_epoch = self.start_since_epoch + self.start.elapsed();
        HistoryLine {
            mono_ns: u64::try_from(since_epoch.as_nanos()).unwrap_or(u64::MAX),
            who: &self.who,
            event,
            edit_id: None,
            revision: None,
            zone: None,
        }
    }

    fn write(&self, line: &HistoryLine<'_>) -> std::io::Result<()> {
        let Some(file) = &self.file else {
            return Ok(());
        };
        let mut text = serde_json::to_vec(line)?;
        text.push(b'\n');
        file.borrow_mut().write_all(&text)
    }
}
