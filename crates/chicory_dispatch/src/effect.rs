//! Everything that the request path asks of its surroundings.

use std::time::Duration;

use chicory_ownership::{ClaimRequest, ClaimResolution, Claimant, RenewRequest, StoredAnswer};
use chicory_types::{FencingToken, OrderKey, RequestId, ServerId, ServiceName, Slot, VmId};

use crate::{AnnouncementAnswer, AnnouncementError, ConnectionId, Refusal, RelayLoad};

/// Everything that the request path asks of its surroundings.
///
/// Effects are to be carried out in the order in which they are returned.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Effect {
    /// Answer the request with a refusal, at once.
    Refuse {
        /// The request.
        request: RequestId,
        /// The refusal.
        refusal: Refusal,
    },
    /// Answer the request with the stored answer of an order that ran before.
    AnswerStored {
        /// The request.
        request: RequestId,
        /// The answer.
        answer: StoredAnswer,
    },
    /// Send the request to another entry process.
    Relay {
        /// The request.
        request: RequestId,
        /// The process.
        to: VmId,
        /// Its peer address.
        address: String,
        /// Relays so far, this one included.
        hops: u8,
        /// Time left.
        deadline: Duration,
    },
    /// Give up the relay of a request; its stream is reset.
    CancelRelay {
        /// The request.
        request: RequestId,
    },
    /// Open a connection to a backend server.
    Connect {
        /// Identifier of the new connection.
        connection: ConnectionId,
        /// The server.
        server: ServerId,
        /// Its address.
        address: String,
    },
    /// Close a connection; whatever runs on it is cancelled.
    Close {
        /// The connection.
        connection: ConnectionId,
    },
    /// Send the request on a connection.
    ///
    /// The lease was tested in the call that returned this effect: it must be carried out without
    /// waiting for anything else first.
    Write {
        /// The request.
        request: RequestId,
        /// The connection.
        connection: ConnectionId,
        /// Slot of the key, for keyed services.
        slot: Option<Slot>,
        /// Fencing token, for keyed services.
        token: Option<FencingToken>,
        /// Time left.
        deadline: Duration,
        /// Whether the answer is to be kept for
        /// [`AnswerFinished`](crate::Event::AnswerFinished).
        keeps_answer: bool,
    },
    /// Pass the answer that has started on to the caller or the relaying process.
    ForwardAnswer {
        /// The request.
        request: RequestId,
        /// Load to tell a relaying process.
        load: RelayLoad,
    },
    /// Drop the answer that has started; the request is tried again or refused.
    ///
    /// Once the rest is taken in, the connection is told as
    /// [`Event::Connected`](crate::Event::Connected) where it can be used again, else as
    /// [`Event::ConnectionClosed`](crate::Event::ConnectionClosed). A relay's stream is reset.
    DiscardAnswer {
        /// The request.
        request: RequestId,
    },
    /// Break the answer that is being passed on, so that the caller sees an error and never takes
    /// a part for the whole.
    BreakAnswer {
        /// The request.
        request: RequestId,
    },
    /// Ask the zone group for the right to run an order.
    Claim {
        /// The order.
        request: RequestId,
        /// The claim.
        claim: ClaimRequest,
    },
    /// Tell the zone group how a claimed order ended; to be sent again until it is answered.
    ResolveClaim {
        /// The service.
        service: ServiceName,
        /// The order key.
        order_key: OrderKey,
        /// Who held the claim.
        claimant: Claimant,
        /// How it ended.
        resolution: ClaimResolution,
    },
    /// Tell the zone group that a backend server crashed while it ran requests.
    ReportCrash {
        /// The server.
        server: ServerId,
        /// Fingerprints of the suspects.
        fingerprints: Vec<u64>,
        /// Whether the only suspect ran alone.
        was_alone: bool,
    },
    /// Send the renewal to the leader of the zone group, or to any member while it isn't known.
    Renew {
        /// The leader, as last heard of.
        leader: Option<VmId>,
        /// The renewal.
        request: RenewRequest,
    },
    /// Ask a backend server over a fresh connection whether it is alive.
    Probe {
        /// The server.
        server: ServerId,
        /// Its address.
        address: String,
    },
    /// Answer an announcement.
    AnswerAnnouncement {
        /// Identifier of the exchange.
        exchange: u64,
        /// The answer or the refusal.
        answer: Result<AnnouncementAnswer, AnnouncementError>,
    },
    /// The answer to the balancer's readiness checks changed.
    SetReady {
        /// Whether new requests may come in.
        is_ready: bool,
    },
    /// Nothing is in flight and all roles are handed over: the process may exit.
    Stopped,
}
