//! What the tasks of the process tell its loop.

use chicory_dispatch::RequestHead;
use chicory_dispatch::{Announcement, AnnouncementAnswer, AnnouncementError, ConnectionId, Event};
use chicory_net::http::{SendError, ServerLink};
use chicory_net::peer::RelayReader;
use chicory_ownership::StoredAnswer;
use chicory_types::RequestId;
use chicory_wire::proto::relay::RelayAnswerHead;
use hyper::Response;
use hyper::body::Incoming;
use tokio::sync::oneshot;

use crate::exchange::{Attempt, Exchange};

/// What an announcement is answered.
pub(crate) type AnnounceReply = Result<AnnouncementAnswer, AnnouncementError>;

/// What the tasks of the process tell its loop.
#[derive(Debug)]
pub(crate) enum Input {
    /// An event for the reducer as it is.
    Event(Event),
    /// A request came in.
    Arrived(Box<(RequestHead, Exchange)>),
    /// An announcement came in; its number is set by the loop.
    Announced {
        announcement: Box<Announcement>,
        reply: oneshot::Sender<AnnounceReply>,
    },
    /// A connection to a backend server is open.
    Connected {
        connection: ConnectionId,
        link: ServerLink,
    },
    /// A connection to a backend server ended from the other side.
    LinkClosed { connection: ConnectionId },
    /// A connection to a backend server takes another request after an answer was passed on.
    LinkReady {
        request: RequestId,
        connection: ConnectionId,
        kept: Option<StoredAnswer>,
        /// The connection; `None` where it takes none.
        link: Option<ServerLink>,
    },
    /// An answer that nobody wants was read to its end, or not.
    AnswerDrained {
        connection: ConnectionId,
        is_complete: bool,
    },
    /// A backend server answered.
    ServerAnswered {
        attempt: Attempt,
        response: Box<Response<Incoming>>,
    },
    /// A backend server gave no answer.
    ServerFailed { attempt: Attempt, error: SendError },
    /// Another entry process answered.
    RelayAnswered {
        attempt: Attempt,
        head: Box<RelayAnswerHead>,
        reader: RelayReader,
    },
    /// A relay failed before its answer.
    RelayFailed {
        attempt: Attempt,
        is_nothing_sent: bool,
    },
    /// A backend server's answer was passed on to its end.
    AnswerFinished {
        request: RequestId,
        connection: ConnectionId,
        kept: Option<StoredAnswer>,
    },
}
