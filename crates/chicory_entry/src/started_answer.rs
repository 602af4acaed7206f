//! An answer whose head was received.

use chicory_dispatch::{ConnectionId, Outcome};
use chicory_net::peer::RelayReader;
use chicory_wire::proto::relay::RelayAnswerHead;
use hyper::Response;
use hyper::body::Incoming;

/// An answer whose head was received and of which nothing has been forwarded.
#[derive(Debug)]
pub(crate) enum StartedAnswer {
    /// From a backend server.
    FromServer {
        connection: ConnectionId,
        response: Response<Incoming>,
        outcome: Outcome,
        keeps_answer: bool,
    },
    /// From another entry process.
    FromRelay {
        head: RelayAnswerHead,
        reader: RelayReader,
    },
}
