//! Messages from the tasks of the process to the core loop.

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

/// The answer to an announcement.
pub(crate) type AnnounceReply = Result<AnnouncementAnswer, AnnouncementError>;

/// A message from a task of the process to the core loop.
#[derive(Debug)]
pub(crate) enum Input {
    /// An event that is passed to the reducer unchanged.
    Event(Event),
    /// A request was received.
    Arrived(Box<(RequestHead, Exchange)>),
    /// An announcement was received; the core loop assigns its number.
    Announced {
        announcement: Box<Announcement>,
        reply: oneshot::Sender<AnnounceReply>,
    },
    /// A connection to a backend server was opened.
    Connected {
        connection: ConnectionId,
        link: ServerLink,
    },
    /// A connection to a backend server has ended.
    LinkClosed { connection: ConnectionId },
    /// After an answer was forwarded completely, its connection became ready for another request,
    /// or turned out not to be reusable.
    LinkReady {
        request: RequestId,
        connection: ConnectionId,
        kept: Option<StoredAnswer>,
        /// The connection; `None` if it can't be reused.
        link: Option<ServerLink>,
    },
    /// Reading a discarded answer has ended.
    AnswerDrained {
        connection: ConnectionId,
        /// Whether the answer was read to its end.
        is_complete: bool,
    },
    /// The head of a backend server's answer was received.
    ServerAnswered {
        attempt: Attempt,
        response: Box<Response<Incoming>>,
    },
    /// The exchange with a backend server failed before the head of its answer was received.
    ServerFailed { attempt: Attempt, error: SendError },
    /// The head of another entry process's answer was received.
    RelayAnswered {
        attempt: Attempt,
        head: Box<RelayAnswerHead>,
        reader: RelayReader,
    },
    /// A relay failed before the head of its answer was received.
    RelayFailed {
        attempt: Attempt,
        has_sent_nothing: bool,
    },
    /// A backend server's answer was forwarded completely.
    AnswerFinished {
        request: RequestId,
        connection: ConnectionId,
        kept: Option<StoredAnswer>,
    },
}
