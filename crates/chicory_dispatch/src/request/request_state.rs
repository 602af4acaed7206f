//! The state of one open request.

use chicory_types::{FencingToken, MonoTime, Slot};

use crate::request::{ClaimState, OrderHistory, Phase, RoutingRequirements};
use crate::view::ServerIndex;
use crate::{Outcome, RequestHead, RequestOrigin};

/// The state of one open request.
#[derive(Clone, Debug)]
pub(crate) struct RequestState {
    pub(crate) head: RequestHead,
    pub(crate) requirements: RoutingRequirements,
    pub(crate) expires_at: MonoTime,
    /// When the timer of the request fires: its deadline, or the end of a pause before that.
    pub(crate) wake_at: MonoTime,
    pub(crate) phase: Phase,
    pub(crate) claim: ClaimState,
    pub(crate) history: OrderHistory,
    /// Slot of the key and fencing token of its owner, for keyed services.
    pub(crate) grant: Option<(Slot, FencingToken)>,
    /// Number of tries so far.
    pub(crate) tries: u32,
    /// Number of tries on which the server crashed or the connection broke before an answer.
    pub(crate) broken_tries: u32,
    /// Whether one of the ended tries may have run.
    pub(crate) may_have_run: bool,
    /// Whether a try is in progress that is not known to be unsent or refused.
    pub(crate) is_sent: bool,
    /// The server that had no room for the request, or whose dispatcher refused it; the next try
    /// goes to another one.
    pub(crate) declined_by: Option<ServerIndex>,
    /// Whether the caller has disconnected.
    pub(crate) is_caller_gone: bool,
    /// Servers on which a try failed.
    pub(crate) avoided: Vec<ServerIndex>,
}

impl RequestState {
    pub(crate) fn new(
        head: RequestHead,
        requirements: RoutingRequirements,
        expires_at: MonoTime,
    ) -> Self {
        Self {
            head,
            requirements,
            expires_at,
            wake_at: expires_at,
            phase: Phase::Placing,
            claim: ClaimState::None,
            history: OrderHistory::NotReported,
            grant: None,
            tries: 0,
            broken_tries: 0,
            may_have_run: false,
            is_sent: false,
            declined_by: None,
            is_caller_gone: false,
            avoided: Vec::new(),
        }
    }

    /// Returns the outcome to report to the caller in a refusal.
    ///
    /// As long as the claim of an order hasn't been looked up, this process doesn't know whether an
    /// earlier send of the order ran, so it never reports such an order as not run.
    pub(crate) fn reported_outcome(&self) -> Outcome {
        if self.requirements.needs_claim && self.history == OrderHistory::NotReported {
            return Outcome::Unknown;
        }
        self.outcome()
    }

    /// Returns what is known about whether this send of the request ran.
    pub(crate) fn outcome(&self) -> Outcome {
        if self.may_have_run || self.is_sent {
            Outcome::Unknown
        } else {
            Outcome::NotRun
        }
    }

    /// Records that the current try ended without proof that it did not run.
    pub(crate) fn end_unknown(&mut self) {
        self.may_have_run |= self.is_sent;
        self.is_sent = false;
    }

    /// Records that the current try ended and certainly did not run.
    pub(crate) fn end_not_run(&mut self) {
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
