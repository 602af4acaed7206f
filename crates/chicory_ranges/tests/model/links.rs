//! The leader's connections for grants.

use std::collections::BTreeMap;

use chicory_ranges::LinkId;

use super::ProcessIndex;

/// The leader's open connections on which grants were answered, each to one process.
#[derive(Clone, Debug, Default)]
pub struct Links {
    open: BTreeMap<LinkId, ProcessIndex>,
    last: LinkId,
}

impl Links {
    /// Returns the process at the other end of a connection, if that is open.
    pub fn process(&self, link: LinkId) -> Option<ProcessIndex> {
        self.open.get(&link).copied()
    }

    /// Keeps a new connection to a process.
    pub fn add(&mut self, process: ProcessIndex) -> LinkId {
        self.last += 1;
        self.open.insert(self.last, process);
        self.last
    }

    /// Closes a connection.
    pub fn close(&mut self, link: LinkId) {
        self.open.remove(&link);
    }

    /// Closes the connections to a process that has ended.
    pub fn close_all_to(&mut self, ended: ProcessIndex) {
        self.open.retain(|_, process| *process != ended);
    }

    /// Closes all connections.
    pub fn close_all(&mut self) {
        self.open.clear();
    }
}
