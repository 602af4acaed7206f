//! The last changes of the view.

use std::collections::VecDeque;

use chicory_types::ViewVersion;

use crate::{ViewChange, ViewUpdate};

/// Changes kept for entry processes that are a little behind; others get the whole view.
pub const VIEW_LOG_CHANGES: usize = 4_096;

/// The last changes of the view, each with a version of its own.
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

    /// Version after the last change.
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

    /// The changes after `known`; `None` where they aren't all kept.
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
