//! A call that has not ended.

use chicory_ranges::{
    CALL_TIMEOUT, CallId, CallOutcome, GrantCall, LinkId, RELEASE_TIMEOUT, ServerIncarnation,
};
use chicory_types::MonoTime;

use super::process::by_slow_clock;
use super::{AddressIndex, ProcessIndex};

/// The way of a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallRoute {
    /// To a process on an open connection.
    OpenLink(LinkId, ProcessIndex),
    /// On a connection that is closed.
    ClosedLink,
    /// On a new connection to the address.
    Address,
}

/// How far a call has come.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CallStage {
    /// On its way to the address.
    Sent,
    /// Received by a process, without an effect yet.
    Arrived { process: ProcessIndex, at: MonoTime },
    /// Carried out, or refused.
    Applied {
        process: ProcessIndex,
        outcome: CallOutcome,
    },
}

/// A call that has not ended.
#[derive(Clone, Debug)]
pub struct Call {
    pub id: CallId,
    /// Whether the leader that made the call still waits for the answer.
    pub is_awaited: bool,
    pub to: ServerIncarnation,
    pub address: AddressIndex,
    pub content: GrantCall,
    pub route: CallRoute,
    pub sent_at: MonoTime,
    pub stage: CallStage,
}

impl Call {
    /// Returns the last moment at which the call can arrive or be answered.
    pub fn deadline(&self) -> MonoTime {
        let timeout = match self.content {
            GrantCall::Grant { .. } => CALL_TIMEOUT,
            GrantCall::Release { .. } => RELEASE_TIMEOUT,
        };
        self.sent_at + timeout
    }

    /// Returns whether a process received the call and has not carried it out.
    pub fn waits_at(&self, process: ProcessIndex) -> bool {
        matches!(self.stage, CallStage::Arrived { process: at, .. } if at == process)
    }

    /// Returns whether the call can still arrive, take effect or be answered at some time.
    pub fn may_act(&self, now: MonoTime) -> bool {
        match (&self.stage, &self.content) {
            (CallStage::Sent, _) => now <= self.deadline(),
            (CallStage::Arrived { at, .. }, GrantCall::Grant { hold, .. }) => {
                now < *at + by_slow_clock(*hold)
            }
            // A late release takes keys away, which is safe.
            (CallStage::Arrived { .. }, GrantCall::Release { .. })
            | (CallStage::Applied { .. }, _) => self.is_awaited,
        }
    }

    /// Returns the call in words.
    pub fn in_words(&self) -> String {
        let (kind, range, fence) = match &self.content {
            GrantCall::Grant { range, fence, .. } => ("grant", range, fence),
            GrantCall::Release { range, fence } => ("release", range, fence),
        };
        format!("{kind} {} of {range} under {fence} to {}", self.id, self.to)
    }
}
