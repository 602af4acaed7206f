//! The events that the request path handles.

use std::time::Duration;

use chicory_ownership::{ClaimAnswer, RenewAnswer, StoredAnswer};
use chicory_types::{MonoTime, RequestId, ServerId, VmId};
use serde::{Deserialize, Serialize};

use crate::{
    Announcement, ConnectFailure, ConnectionId, ExchangeFailure, Outcome, ProbeResult,
    RelayFailure, RelayLoad, RequestHead, RequestIdEcho, ServerRefusal,
};

/// An event that the request path handles.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Event {
    /// Time has passed. Sent at the reducer's next wake-up at the latest.
    Tick,
    /// The head of a request was received.
    RequestArrived(RequestHead),
    /// The caller, or the process that relayed the request, disconnected or cancelled it.
    ///
    /// No final effect follows. An order in flight continues, so that its answer can be stored: if
    /// [`Effect::ForwardAnswer`](crate::Effect::ForwardAnswer) is returned for it, the answer is
    /// read to its end and discarded.
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
    /// The renewal was not answered.
    RenewFailed,
    /// The zone group answered a claim.
    ClaimAnswered {
        /// The order.
        request: RequestId,
        /// The answer.
        answer: ClaimAnswer,
    },
    /// A claim was not answered; it may have been granted.
    ClaimFailed {
        /// The order.
        request: RequestId,
    },
    /// A connection was opened, or became reusable after
    /// [`Effect::DiscardAnswer`](crate::Effect::DiscardAnswer).
    Connected {
        /// The connection.
        connection: ConnectionId,
    },
    /// A connection could not be opened.
    ConnectFailed {
        /// The connection.
        connection: ConnectionId,
        /// Why it failed.
        failure: ConnectFailure,
    },
    /// A connection without a request in flight was closed by the server, broke, or has ended after
    /// [`Effect::Close`](crate::Effect::Close).
    ConnectionClosed {
        /// The connection.
        connection: ConnectionId,
    },
    /// The connection accepted bytes of the request.
    RequestProgressed {
        /// The request.
        request: RequestId,
    },
    /// The head of the server's answer was received; nothing has been forwarded yet.
    AnswerStarted {
        /// The request.
        request: RequestId,
        /// HTTP status.
        status: u16,
        /// Whether the answer belongs to this request.
        echo: RequestIdEcho,
        /// The server's refusal, if it reports that it did not run the request.
        refusal: Option<ServerRefusal>,
    },
    /// Bytes of the answer's body were received.
    AnswerProgressed {
        /// The request.
        request: RequestId,
    },
    /// The answer's body was received and forwarded completely.
    AnswerFinished {
        /// The request.
        request: RequestId,
        /// The answer, if the effect that wrote the request requested to keep it.
        kept: Option<StoredAnswer>,
        /// Whether the connection can carry another request.
        is_reusable: bool,
    },
    /// The exchange with the server failed.
    ExchangeFailed {
        /// The request.
        request: RequestId,
        /// How far the exchange got.
        failure: ExchangeFailure,
    },
    /// The head of a relayed answer was received; nothing has been forwarded yet.
    RelayAnswered {
        /// The request.
        request: RequestId,
        /// Whether the request ran, as reported by the other process.
        outcome: Outcome,
        /// Retry-after time of a refusal.
        retry_after: Option<Duration>,
        /// Load reported by the dispatcher.
        load: RelayLoad,
    },
    /// The body of the relayed answer was received and forwarded completely.
    RelayFinished {
        /// The request.
        request: RequestId,
    },
    /// The relay failed.
    RelayFailed {
        /// The request.
        request: RequestId,
        /// How far the exchange got.
        failure: RelayFailure,
    },
    /// A probe over a new connection ended.
    Probed {
        /// The server.
        server: ServerId,
        /// Result of the probe.
        result: ProbeResult,
    },
    /// A stop of the process was requested.
    StopRequested,
}
