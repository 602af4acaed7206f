//! Log of the most recent changes to the view.

use std::collections::VecDeque;

use chicory_types::ViewVersion;

use crate::{ViewChange, ViewUpdate};

/// Number of changes kept for entry processes whose view is slightly behind. Entry processes
/// further behind get the full view.
pub const VIEW_LOG_CHANGES: usize = 4_096;

/// Log of the most recent changes to the view. Each change increments the version by one.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ViewLog {
    changes: VecDeque<ViewChange>,
    version: ViewVersion,
}

impl ViewLog {
    /// Creates an empty log at `version`.
    pub fn new(version: ViewVersion) -> Self {
        Self {
            changes: VecDeque::new(),
            version,
        }
    }

    /// Returns the version after the last change.
    pub fn version(&self) -> ViewVersion {
        self.version
    }

    /// Appends a change.
    pub fn push(&mut self, change: ViewChange) {
        self.version += 1;
        self.changes.push_back(change);
        if self.changes.len() > VIEW_LOG_CHANGES {
            self.changes.pop_front();
        }
    }

    /// Returns the changes after version `known`, or `None` if some of them are no longer in the
    /// log or `known` is ahead of the log.
    pub fn since(&self, known: ViewVersion) -> Option<ViewUpdate> {
        let missing = self.version.checked_sub(known)?;
        let missing = usize::try_from(missing).ok()?;
        let skipped = self.changes.len().checked_sub(missing)?;
        Some(ViewUpdate {
            version: self.version,
            changes: self.changes.range(skipped..).cloned().collect(),
        })
    }
}
