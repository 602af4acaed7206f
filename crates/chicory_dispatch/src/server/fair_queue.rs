//! A queue that is fair between flows.

use std::collections::{BTreeMap, VecDeque};

use chicory_types::RequestId;

use crate::server::QueueEntry;

/// Identifier of a flow: the slot of a keyed request, or one flow for all others.
pub(crate) type FlowId = u32;

/// A queue that serves its flows round-robin, so that a hot key can't starve the others.
#[derive(Clone, Debug, Default)]
pub(crate) struct FairQueue {
    flows: BTreeMap<FlowId, VecDeque<QueueEntry>>,
    /// Non-empty flows, in the order in which they are served next.
    rotation: VecDeque<FlowId>,
    len: usize,
}

impl FairQueue {
    pub(crate) fn len(&self) -> usize {
        self.len
    }

    pub(crate) fn push(&mut self, flow: FlowId, entry: QueueEntry) {
        let waiting = self.flows.entry(flow).or_default();
        if waiting.is_empty() {
            self.rotation.push_back(flow);
        }
        waiting.push_back(entry);
        self.len += 1;
    }

    pub(crate) fn front(&self) -> Option<QueueEntry> {
        let flow = self.rotation.front()?;
        self.flows.get(flow)?.front().copied()
    }

    pub(crate) fn pop(&mut self) -> Option<QueueEntry> {
        let flow = self.rotation.pop_front()?;
        let waiting = self.flows.get_mut(&flow)?;
        let entry = waiting.pop_front()?;
        if waiting.is_empty() {
            self.flows.remove(&flow);
        } else {
            self.rotation.push_back(flow);
        }
        self.len -= 1;
        Some(entry)
    }

    /// Returns how many requests would be served before a new one of `flow`.
    pub(crate) fn ahead_of(&self, flow: FlowId) -> usize {
        let flow_len = self.flows.get(&flow).map_or(0, VecDeque::len);
        self.len.min((flow_len + 1) * self.rotation.len().max(1))
    }

    /// Removes the last request of the longest flow to make room for a request of `flow`, if the
    /// longest flow is longer than `flow` would be with that request.
    pub(crate) fn displace_for(&mut self, flow: FlowId) -> Option<QueueEntry> {
        let flow_len = self.flows.get(&flow).map_or(0, VecDeque::len);
        let longest = self.flows.iter().max_by_key(|(_, waiting)| waiting.len());
        let (&heaviest, waiting) = longest?;
        if waiting.len() <= flow_len + 1 {
            return None;
        }
        let entry = self.flows.get_mut(&heaviest)?.pop_back()?;
        self.len -= 1;
        Some(entry)
    }

    pub(crate) fn remove(&mut self, flow: FlowId, request: RequestId) -> bool {
        let Some(waiting) = self.flows.get_mut(&flow) else {
            return false;
        };
        let before = waiting.len();
        waiting.retain(|entry| entry.request != request);
        let removed = before - waiting.len();
        self.len -= removed;
        if waiting.is_empty() {
            self.flows.remove(&flow);
            self.rotation.retain(|other| *other != flow);
        }
        removed > 0
    }

    /// Returns all waiting requests, grouped by flow.
    pub(crate) fn requests(&self) -> Vec<RequestId> {
        let all = self.flows.values().flatten();
        all.map(|entry| entry.request).collect()
    }
}
