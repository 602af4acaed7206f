//! A violation of a guarantee, as found in a history.

use std::fmt;

use serde::Serialize;

/// A violation of a guarantee, as found in a history.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(tag = "violation", rename_all = "snake_case")]
pub enum Violation {
    /// Two backend servers ran requests of one key at the same time.
    TwoOwnersRan {
        /// The service.
        service: String,
        /// The key.
        key: String,
        /// The server that began first.
        first: String,
        /// The server that began before the first ended.
        second: String,
        /// Time at which the second run began.
        at_ns: u64,
    },
    /// Two backend servers held a grant of one slot at the same time.
    TwoOwnersGranted {
        /// The service.
        service: String,
        /// The slot.
        slot: u16,
        /// The server that was granted the slot first.
        first: String,
        /// The server that was granted the slot before the first one lost it.
        second: String,
        /// Time of the second grant.
        at_ns: u64,
    },
    /// A request ran with a lower fencing token than an earlier one on the same slot.
    TokenWentBack {
        /// The service.
        service: String,
        /// The key.
        key: String,
        /// The lower token.
        token: String,
        /// The greatest earlier token.
        greatest: String,
    },
    /// An order ran more than once.
    OrderRanTwice {
        /// The service.
        service: String,
        /// The order key.
        order_key: String,
        /// The servers that ran it, in order.
        servers: Vec<String>,
    },
    /// A caller got the outcome `not-run`, but its request ran.
    RanThoughNotRun {
        /// The service.
        service: String,
        /// The caller's identifier of the send.
        request_id: String,
        /// The server that ran it.
        server: String,
    },
    /// A caller got the outcome `ran`, but no server ran its request.
    NeverRan {
        /// The service.
        service: String,
        /// The caller's identifier of the send.
        request_id: String,
    },
    /// A caller got an incomplete answer or the answer to another request.
    BrokenAnswer {
        /// The service.
        service: String,
        /// The caller's identifier of the send.
        request_id: String,
    },
    /// Two edits were answered with the same revision.
    RevisionGivenTwice {
        /// The revision.
        revision: u64,
        /// The edits.
        edit_ids: Vec<String>,
    },
    /// An edit was answered with two revisions.
    EditAnsweredTwoWays {
        /// The edit.
        edit_id: String,
        /// The revisions.
        revisions: Vec<u64>,
    },
    /// An edit that was sent after the answer to another one got a lower revision.
    RevisionWentBack {
        /// The edit.
        edit_id: String,
        /// Its revision.
        revision: u64,
        /// The greatest revision that had been answered when it was sent.
        answered: u64,
    },
    /// An availability zone went back to an earlier revision.
    ZoneWentBack {
        /// The zone.
        zone: String,
        /// The earlier revision.
        revision: u64,
        /// The greatest revision observed before.
        greatest: u64,
    },
}

impl fmt::Display for Violation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let text = serde_json::to_string(self).map_err(|_| fmt::Error)?;
        f.write_str(&text)
    }
}
