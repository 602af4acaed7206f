//! A process of a backend server.

use std::collections::BTreeMap;
use std::time::Duration;

use chicory_ranges::{CallOutcome, Fence, GrantCall, Key, ServerIncarnation};
use chicory_types::MonoTime;

/// Position of an address.
pub type AddressIndex = usize;
/// Position of a process, in the order of the starts.
pub type ProcessIndex = usize;

/// A process of a backend server, with its keys by the first key of their range.
#[derive(Clone, Debug)]
pub struct Process {
    pub incarnation: ServerIncarnation,
    pub address: AddressIndex,
    pub is_running: bool,
    /// Until when it holds keys.
    pub held_until: BTreeMap<Key, MonoTime>,
    /// The greatest fence under which it had keys.
    pub fences: BTreeMap<Key, Fence>,
}

impl Process {
    pub fn start(incarnation: ServerIncarnation, address: AddressIndex) -> Self {
        Self {
            incarnation,
            address,
            is_running: true,
            held_until: BTreeMap::new(),
            fences: BTreeMap::new(),
        }
    }

    /// Returns whether it holds the keys of a range.
    pub fn holds(&self, now: MonoTime, first: Key) -> bool {
        let until = self.held_until.get(&first);
        self.is_running && until.is_some_and(|until| now < *until)
    }

    /// Ends the process, which holds nothing from then on.
    pub fn end(&mut self) {
        self.is_running = false;
        self.held_until.clear();
    }

    /// Drops grants that have expired.
    pub fn forget_expired(&mut self, now: MonoTime) {
        self.held_until.retain(|_, until| now < *until);
    }

    /// Carries out a call to a server that arrived at some time. Calls name the server.
    pub fn apply(
        &mut self,
        arrived_at: MonoTime,
        to: &ServerIncarnation,
        content: &GrantCall,
    ) -> CallOutcome {
        if to.server != self.incarnation.server {
            return CallOutcome::OtherServer;
        }
        match content {
            GrantCall::Grant {
                range, fence, hold, ..
            } => {
                let known = self.fences.get(&range.first);
                if known.is_some_and(|known| known > fence) {
                    return CallOutcome::Fenced;
                }
                self.fences.insert(range.first, *fence);
                self.held_until
                    .insert(range.first, arrived_at + by_slow_clock(*hold));
                CallOutcome::Done {
                    handover: None,
                    link: None,
                }
            }
            GrantCall::Release { range, .. } => {
                self.held_until.remove(&range.first);
                CallOutcome::Done {
                    handover: None,
                    link: None,
                }
            }
        }
    }
}

/// Returns how long a hold lasts by a clock that runs 2 % slow.
pub fn by_slow_clock(hold: Duration) -> Duration {
    hold + hold / 50
}
