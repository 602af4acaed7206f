//! The state of one open request.

use chicory_types::{FencingToken, MonoTime, Slot};

use crate::request::{ClaimState, Demand, OrderHistory, Phase};
use crate::view::ServerIndex;
use crate::{Outcome, RequestHead, RequestOrigin};

/// The state of one open request.
#[derive(Clone, Debug)]
pub(crate) struct RequestState {
    pub(crate) head: RequestHead,
    pub(crate) demand: Demand,
    pub(crate) expires_at: MonoTime,
    /// When the timer of the request is due.
    pub(crate) wake_at: MonoTime,
    pub(crate) phase: Phase,
    pub(crate) claim: ClaimState,
    pub(crate) history: OrderHistory,
    /// Slot and token of the owner, for keyed services.
    pub(crate) grant: Option<(Slot, FencingToken)>,
    /// Tries so far.
    pub(crate) tries: u32,
    /// Tries that a server broke off before it answered.
    pub(crate) breaks: u32,
    /// Whether an ended try of it may have run.
    pub(crate) may_have_run: bool,
    /// Whether a try is under way that is not proven unsent or refused.
    pub(crate) is_sent: bool,
    /// A server that had no room for it.
    pub(crate) passed_over: Option<ServerIndex>,
    /// Whether the caller has left.
    pub(crate) is_caller_gone: bool,
    /// Servers that failed it.
    pub(crate) avoided: Vec<ServerIndex>,
}

impl RequestState {
    pub(crate) fn new(head: RequestHead, demand: Demand, expires_at: MonoTime) -> Self {
        Self {
            head,
            demand,
            expires_at,
            wake_at: expires_at,
            phase: Phase::Placing,
            claim: ClaimState::None,
            history: OrderHistory::Untold,
            grant: None,
            tries: 0,
            breaks: 0,
            may_have_run: false,
            is_sent: false,
            passed_over: None,
            is_caller_gone: false,
            avoided: Vec::new(),
        }
    }

    /// What the caller is told when the request is refused.
    ///
    /// Of an order whose claim wasn't looked up nobody here knows whether an earlier send of it
    /// ran, so that it is never said to be not run.
    pub(crate) fn told_outcome(&self) -> Outcome {
        if self.demand.needs_claim && self.history == OrderHistory::Untold {
            return Outcome::Unknown;
        }
        self.outcome()
    }

    /// What is known of the run of this send.
    pub(crate) fn outcome(&self) -> Outcome {
        if self.may_have_run || self.is_sent {
            Outcome::Unknown
        } else {
            Outcome::NotRun
        }
    }

    /// Notes that the try under way ended without proof that it did not run.
    pub(crate) fn end_unproven(&mut self) {
        self.may_have_run |= self.is_sent;
        self.is_sent = false;
    }

    /// Notes that the try under way surely did not run.
    pub(crate) fn end_unsent(&mut self) {
        self.is_sent = false;
    }

    pub(crate) fn hops(&self) -> u8 {
        match &self.head.origin {
            RequestOrigin::Caller => 0,
            RequestOrigin::Relay { hops, .. } => *hops,
        }
    }

    pub(crate) fn avoid(&mut self, server: ServerIndex) {
        if !self.avoided.contains(&server) {
            self.avoided.push(server);
        }
    }
}
