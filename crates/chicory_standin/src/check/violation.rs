//! What must never be found in a history.

use std::fmt;

use serde::Serialize;

/// What must never be found in a history.
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
        /// When the second began.
        at_ns: u64,
    },
    /// Two backend servers held a grant of one slot at the same time.
    TwoOwnersGranted {
        /// The service.
        service: String,
        /// The slot.
        slot: u16,
        /// The server that was granted it first.
        first: String,
        /// The server that was granted it before the first lost it.
        second: String,
        /// When the second was granted it.
        at_ns: u64,
    },
    /// A request ran with a lower fencing token than one before it on the same slot.
    TokenWentBack {
        /// The service.
        service: String,
        /// The key.
        key: String,
        /// The lower token.
        token: String,
        /// The greatest token before.
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
    /// A caller was told that its request didn't run, but it did.
    RanThoughNotRun {
        /// The service.
        service: String,
        /// The caller's identifier of the send.
        request_id: String,
        /// The server that ran it.
        server: String,
    },
    /// A caller was told that its request ran, but no server ran it.
    NeverRan {
        /// The service.
        service: String,
        /// The caller's identifier of the send.
        request_id: String,
    },
    /// A caller got an answer that wasn't whole or wasn't its own.
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
        /// The greatest revision seen before.
        greatest: u64,
    },
}

impl fmt::Display for Violation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let text = serde_json::to_string(self).map_err(|_| fmt::Error)?;
        f.write_str(&text)
    }
}
