//! The actions that the request path requests from the I/O code around it.

use std::time::Duration;

use chicory_ownership::{ClaimRequest, ClaimResolution, Claimant, RenewRequest, StoredAnswer};
use chicory_types::{FencingToken, OrderKey, RequestId, ServerId, ServiceName, Slot, VmId};

use crate::{AnnouncementAnswer, AnnouncementError, ConnectionId, Refusal, RelayLoad};

/// An action that the request path requests from the I/O code around it.
///
/// Effects have to be carried out in the order in which they are returned.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Effect {
    /// Answer the request with a refusal immediately.
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
        /// Number of relays so far, including this one.
        hops: u8,
        /// Time that the other process has for the request. It is slightly less than the time left
        /// here, so that the other process can report the outcome in time.
        deadline: Duration,
    },
    /// Cancel the relay of a request by resetting its stream.
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
    /// Close a connection; a request in flight on it is cancelled.
    Close {
        /// The connection.
        connection: ConnectionId,
    },
    /// Send the request on a connection.
    ///
    /// The lease was checked in the call that returned this effect, so the effect must be carried
    /// out without waiting for anything else first.
    Write {
        /// The request.
        request: RequestId,
        /// The connection.
        connection: ConnectionId,
        /// Slot of the key, for keyed services.
        slot: Option<Slot>,
        /// Fencing token, for keyed services.
        token: Option<FencingToken>,
        /// Time left until the deadline of the request.
        deadline: Duration,
        /// Whether to keep the answer and return it with
        /// [`AnswerFinished`](crate::Event::AnswerFinished).
        keeps_answer: bool,
    },
    /// Forward the answer that has started to the caller or to the relaying process.
    ForwardAnswer {
        /// The request.
        request: RequestId,
        /// Load to report to a relaying process.
        load: RelayLoad,
    },
    /// Drop the answer that has started; the request is tried again or refused.
    ///
    /// Once the rest of the answer is received, the connection is reported with
    /// [`Event::Connected`](crate::Event::Connected) if it can be reused, otherwise with
    /// [`Event::ConnectionClosed`](crate::Event::ConnectionClosed). The stream of a relay is reset.
    DiscardAnswer {
        /// The request.
        request: RequestId,
    },
    /// Abort the answer that is being forwarded, so that the caller sees an error instead of a
    /// truncated answer that looks complete.
    BreakAnswer {
        /// The request.
        request: RequestId,
    },
    /// Request the right to run an order from the zone group.
    Claim {
        /// The order.
        request: RequestId,
        /// The claim.
        claim: ClaimRequest,
    },
    /// Report to the zone group how a claimed order ended; resend the report until it is answered.
    ResolveClaim {
        /// The service.
        service: ServiceName,
        /// The order key.
        order_key: OrderKey,
        /// The holder of the claim.
        claimant: Claimant,
        /// How the order ended.
        resolution: ClaimResolution,
    },
    /// Report to the zone group that a backend server crashed with requests in flight.
    ReportCrash {
        /// The server.
        server: ServerId,
        /// Fingerprints of the requests that may have caused the crash.
        fingerprints: Vec<u64>,
        /// Whether there is only one such request and it was the only one in flight.
        was_alone: bool,
    },
    /// Send the renewal to the leader of the zone group, or to any member if the leader isn't
    /// known.
    Renew {
        /// The last known leader.
        leader: Option<VmId>,
        /// The renewal.
        request: RenewRequest,
    },
    /// Probe over a new connection whether a backend server is alive.
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
    /// Change the answer to the readiness checks of the load balancer.
    SetReady {
        /// Whether the balancer may send new requests.
        is_ready: bool,
    },
    /// The process may exit: no request is open, and it holds no dispatcher role any more.
    Stopped,
}
