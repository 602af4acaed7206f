//! Everything that can happen to the request path.

use std::time::Duration;

use chicory_ownership::{ClaimAnswer, RenewAnswer, StoredAnswer};
use chicory_types::{MonoTime, RequestId, ServerId, VmId};
use serde::{Deserialize, Serialize};

use crate::{
    Announcement, ConnectFailure, ConnectionId, ExchangeFailure, Outcome, ProbeResult,
    RelayFailure, RelayLoad, RequestHead, RequestIdEcho, ServerRefusal,
};

/// Everything that can happen to the request path.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Event {
    /// Time has passed; sent no later than the reducer's next wake-up.
    Tick,
    /// The head of a request came in.
    RequestArrived(RequestHead),
    /// The caller, or the process that relayed, left or cancelled.
    ///
    /// No final effect follows. An order in flight goes on, so that its answer can be kept: where
    /// [`Effect::ForwardAnswer`](crate::Effect::ForwardAnswer) comes for it, the answer is read to
    /// its end and passed to nobody.
    CallerGone {
        /// The request.
        request: RequestId,
    },
    /// A backend server announced itself.
    Announced(Announcement),
    /// The zone group answered the renewal sent at `sent_at`.
    RenewAnswered {
        /// When the renewal was sent.
        sent_at: MonoTime,
        /// The process that answered.
        from: VmId,
        /// The answer.
        answer: RenewAnswer,
    },
    /// The renewal got no answer.
    RenewFailed,
    /// The zone group answered a claim.
    ClaimAnswered {
        /// The order.
        request: RequestId,
        /// The answer.
        answer: ClaimAnswer,
    },
    /// A claim got no answer; it may have been granted.
    ClaimFailed {
        /// The order.
        request: RequestId,
    },
    /// A connection is open, or carries another request again after
    /// [`Effect::DiscardAnswer`](crate::Effect::DiscardAnswer).
    Connected {
        /// The connection.
        connection: ConnectionId,
    },
    /// A connection could not be opened.
    ConnectFailed {
        /// The connection.
        connection: ConnectionId,
        /// Why.
        failure: ConnectFailure,
    },
    /// A connection without a request was closed from the other end, broke, or has ended after
    /// [`Effect::Close`](crate::Effect::Close).
    ConnectionClosed {
        /// The connection.
        connection: ConnectionId,
    },
    /// Bytes of the request were taken by the connection.
    RequestProgressed {
        /// The request.
        request: RequestId,
    },
    /// The head of the server's answer is here; nothing was passed on yet.
    AnswerStarted {
        /// The request.
        request: RequestId,
        /// HTTP status.
        status: u16,
        /// Whether the answer is the request's own.
        echo: RequestIdEcho,
        /// Where the server itself says that it did not run the request.
        refusal: Option<ServerRefusal>,
    },
    /// Bytes of the answer's body came in.
    AnswerProgressed {
        /// The request.
        request: RequestId,
    },
    /// The answer's body is complete and passed on.
    AnswerFinished {
        /// The request.
        request: RequestId,
        /// The answer, where the effect that wrote the request asked to keep it.
        kept: Option<StoredAnswer>,
        /// Whether the connection can carry another request.
        is_reusable: bool,
    },
    /// The exchange with the server failed.
    ExchangeFailed {
        /// The request.
        request: RequestId,
        /// How far it got.
        failure: ExchangeFailure,
    },
    /// The head of a relayed answer is here; nothing was passed on yet.
    RelayAnswered {
        /// The request.
        request: RequestId,
        /// Whether it ran, as the other process says.
        outcome: Outcome,
        /// When to come back, for a refusal.
        retry_after: Option<Duration>,
        /// Load of the dispatcher.
        load: RelayLoad,
    },
    /// The relayed answer's body is complete and passed on.
    RelayFinished {
        /// The request.
        request: RequestId,
    },
    /// The relay failed.
    RelayFailed {
        /// The request.
        request: RequestId,
        /// How far it got.
        failure: RelayFailure,
    },
    /// A probe over a fresh connection ended.
    Probed {
        /// The server.
        server: ServerId,
        /// What it found.
        result: ProbeResult,
    },
    /// The process was asked to stop.
    StopRequested,
}
