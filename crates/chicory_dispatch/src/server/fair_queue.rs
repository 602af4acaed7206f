//! A queue that is fair between flows.

use std::collections::{BTreeMap, VecDeque};

use chicory_types::RequestId;

use crate::server::QueueEntry;

/// Identifier of a flow: the slot of a keyed request, or one flow for all others.
pub(crate) type FlowId = u32;

/// A queue that serves its flows in turn, so that a hot key can't starve the others.
#[derive(Clone, Debug, Default)]
pub(crate) struct FairQueue {
    flows: BTreeMap<FlowId, VecDeque<QueueEntry>>,
    turns: VecDeque<FlowId>,
    len: usize,
}

impl FairQueue {
    pub(crate) fn len(&self) -> usize {
        self.len
    }

    pub(crate) fn push(&mut self, flow: FlowId, entry: QueueEntry) {
        let waiting = self.flows.entry(flow).or_default();
        if waiting.is_empty() {
            self.turns.push_back(flow);
        }
        waiting.push_back(entry);
        self.len += 1;
    }

    pub(crate) fn front(&self) -> Option<QueueEntry> {
        let flow = self.turns.front()?;
        self.flows.get(flow)?.front().copied()
    }

    pub(crate) fn pop(&mut self) -> Option<QueueEntry> {
        let flow = self.turns.pop_front()?;
        let waiting = self.flows.get_mut(&flow)?;
        let entry = waiting.pop_front()?;
        if waiting.is_empty() {
            self.flows.remove(&flow);
        } else {
            self.turns.push_back(flow);
        }
        self.len -= 1;
        Some(entry)
    }

    /// How many requests would be served before a new one of `flow`.
    pub(crate) fn ahead_of(&self, flow: FlowId) -> usize {
        let own = self.flows.get(&flow).map_or(0, VecDeque::len);
        self.len.min((own + 1) * self.turns.len().max(1))
    }

    /// Takes the last request of the longest flow out, where that flow is longer than `flow` would
    /// be with one more.
    pub(crate) fn displace_for(&mut self, flow: FlowId) -> Option<QueueEntry> {
        let own = self.flows.get(&flow).map_or(0, VecDeque::len);
        let longest = self.flows.iter().max_by_key(|(_, waiting)| waiting.len());
        let (&heaviest, waiting) = longest?;
        if waiting.len() <= own + 1 {
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
            self.turns.retain(|turn| *turn != flow);
        }
        removed > 0
    }

    /// All waiting requests, by flow.
    pub(crate) fn requests(&self) -> Vec<RequestId> {
        let all = self.flows.values().flatten();
        all.map(|entry| entry.request).collect()
    }
}
