//! Calls that wait for their reply.

use std::collections::BTreeMap;

use chicory_types::MonoTime;
use tokio::sync::oneshot;

use crate::{CallId, ControlReply, GroupName};

/// Who made a call.
pub enum CallOrigin {
    /// Another process.
    Remote(oneshot::Sender<ControlReply>),
    /// This process's zone side asks its own global side.
    OwnSync {
        /// When it asked.
        sent_at: MonoTime,
    },
    /// This process asks itself about its zone's group.
    OwnFormation {
        /// The group that it asked.
        group: GroupName,
    },
}

/// Calls that wait for their reply.
#[derive(Default)]
pub struct PendingCalls {
    last_call: CallId,
    origins: BTreeMap<CallId, CallOrigin>,
}

impl PendingCalls {
    /// Notes a call.
    pub fn add(&mut self, origin: CallOrigin) -> CallId {
        self.last_call += 1;
        self.origins.insert(self.last_call, origin);
        self.last_call
    }

    /// Takes the origin of a call that has its reply.
    pub fn take(&mut self, call: CallId) -> Option<CallOrigin> {
        self.origins.remove(&call)
    }

    /// Forgets calls whose callers have left.
    pub fn remove_abandoned(&mut self) {
        self.origins.retain(|_, origin| match origin {
            CallOrigin::Remote(reply) => !reply.is_closed(),
            _ => true,
        });
    }
}
