//! The state of one open request.

use chicory_types::{FencingToken, MonoTime, Slot, VmId};

use crate::demand::Demand;
use crate::directory::ServerIndex;
use crate::{ConnectionId, Outcome, RequestHead, RequestOrigin};

/// An exchange with a backend server.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Exchange {
    pub(crate) server: ServerIndex,
    pub(crate) connection: ConnectionId,
    pub(crate) written_at: MonoTime,
    /// When the exchange last made progress.
    pub(crate) heard_at: MonoTime,
    /// Whether its answer is being passed on.
    pub(crate) is_forwarding: bool,
    /// Whether the answer's status is a failure of the server.
    pub(crate) is_failure: bool,
}

/// A relay to another entry process.
#[derive(Clone, Debug)]
pub(crate) struct RelayLeg {
    pub(crate) vm: VmId,
    /// The server it was chosen for; `None` for a relay to another zone.
    pub(crate) server: Option<ServerIndex>,
    /// Whether its answer is being passed on.
    pub(crate) is_forwarding: bool,
}

/// Where an open request is.
#[derive(Clone, Debug)]
pub(crate) enum Phase {
    /// It has to find a server, now or after a pause.
    Placing,
    /// Its claim was asked for.
    Claiming(ServerIndex),
    /// It waits for a server.
    Queued(ServerIndex),
    /// It was written to a server.
    InFlight(Exchange),
    /// It was relayed.
    Relayed(RelayLeg),
}

/// How far the claim of a request has got.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ClaimState {
    /// None was asked for.
    None,
    /// It was asked for and not answered.
    Asked,
    /// The order may be run once.
    Granted,
}

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

    /// What is known of the request's run when it is refused.
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
