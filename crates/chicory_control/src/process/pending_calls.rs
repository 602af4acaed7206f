//! Calls whose reply is pending.

use std::collections::BTreeMap;

use chicory_types::MonoTime;
use tokio::sync::oneshot;

use crate::{CallId, ControlReply, GroupName};

/// Origin of a call.
pub enum CallOrigin {
    /// Another process.
    Remote(oneshot::Sender<ControlReply>),
    /// A sync request from the zone's group of this process to the global group of this process.
    OwnSync {
        /// When the request was sent.
        sent_at: MonoTime,
    },
    /// A formation request of this process to itself.
    OwnFormation {
        /// The group that is asked.
        group: GroupName,
    },
}

/// Calls whose reply is pending.
#[derive(Default)]
pub struct PendingCalls {
    last_call: CallId,
    origins: BTreeMap<CallId, CallOrigin>,
}

impl PendingCalls {
    /// Adds a call and returns its identifier.
    pub fn add(&mut self, origin: CallOrigin) -> CallId {
        self.last_call += 1;
        self.origins.insert(self.last_call, origin);
        self.last_call
    }

    /// Removes a call that has its reply and returns its origin.
    pub fn take(&mut self, call: CallId) -> Option<CallOrigin> {
        self.origins.remove(&call)
    }

    /// Removes the calls whose callers have disconnected.
    pub fn remove_abandoned(&mut self) {
        self.origins.retain(|_, origin| match origin {
            CallOrigin::Remote(reply) => !reply.is_closed(),
            _ => true,
        });
    }
}
