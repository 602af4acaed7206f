//! The leader's connections for grants.

use std::collections::BTreeMap;

use chicory_ranges::{LinkId, ServerIncarnation};

use super::ProcessIndex;

/// The leader's connections for grants, one for each server. A connection leads to one process.
#[derive(Clone, Debug, Default)]
pub struct Links {
    open: BTreeMap<ServerIncarnation, (LinkId, ProcessIndex)>,
    last: LinkId,
}

impl Links {
    /// Returns the process that a call reaches on the connection for a server, if that one is open
    /// and is the one that the call has to use.
    pub fn process(
        &self,
        to: &ServerIncarnation,
        required: Option<LinkId>,
    ) -> Option<ProcessIndex> {
        let (link, process) = self.open.get(to)?;
        let is_usable = required.is_none_or(|required| required == *link);
        is_usable.then_some(*process)
    }

    /// Keeps the connection on which a process answered, and returns its id.
    pub fn keep(&mut self, to: &ServerIncarnation, process: ProcessIndex) -> LinkId {
        if let Some((link, _)) = self.open.get(to).filter(|(_, open)| *open == process) {
            return *link;
        }
        self.last += 1;
        self.open.insert(to.clone(), (self.last, process));
        self.last
    }

    /// Closes the connection for a server.
    pub fn close(&mut self, to: &ServerIncarnation) {
        self.open.remove(to);
    }

    /// Closes the connections to a process that has ended.
    pub fn close_all_to(&mut self, ended: ProcessIndex) {
        self.open.retain(|_, (_, process)| *process != ended);
    }

    /// Closes all connections.
    pub fn close_all(&mut self) {
        self.open.clear();
    }
}
