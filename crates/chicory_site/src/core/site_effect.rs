//! Effects that the reducer asks its caller to carry out.

use std::net::SocketAddr;

use chicory_consensus::{Entry, HardState, Snapshot};
use chicory_directory::{ControlMessage, PeerEnvelope, SiteAnswer};
use chicory_ranges::{CallId, GrantCall, ServerIncarnation};
use chicory_types::{LogIndex, VmId};

use super::{CallerId, EntryLinkId, SiteNote};

/// A call to a backend server.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct GrantRequest {
    /// Identifier for the answer.
    pub call: CallId,
    /// The server.
    pub incarnation: ServerIncarnation,
    /// Its address.
    pub address: SocketAddr,
    /// What it is told.
    pub content: GrantCall,
}

/// An effect returned by [`SiteCore::reduce`](crate::SiteCore::reduce), to be carried out in order.
#[derive(Clone, Debug)]
pub enum SiteEffect {
    /// Make state durable; the fields are those of
    /// [`ReplicaEffect::Persist`](chicory_consensus::ReplicaEffect::Persist).
    Persist {
        /// Identifier for the answer.
        ticket: u64,
        /// New term and vote.
        hard_state: Option<HardState>,
        /// Remove stored entries from this index on.
        truncate_from: Option<LogIndex>,
        /// Snapshot that stands for all entries up to its last index.
        snapshot: Option<Snapshot>,
        /// Entries to append.
        entries: Vec<Entry>,
    },
    /// Open the storage anew after a failure, again and again until it works.
    ReopenStorage,
    /// Answer a call.
    Answer {
        /// Who called.
        caller: CallerId,
        /// The answer.
        answer: SiteAnswer,
    },
    /// Send something to another control VM; it may be lost.
    SendToPeer {
        /// Its id.
        to: VmId,
        /// What to send.
        envelope: PeerEnvelope,
    },
    /// Send something to entry VMs, and tell by
    /// [`SiteEvent::EntryLinkReady`](crate::SiteEvent::EntryLinkReady) when a link has taken all of it.
    SendToEntries {
        /// Their links.
        links: Vec<EntryLinkId>,
        /// What to send.
        message: ControlMessage,
    },
    /// Call a backend server.
    Grant(GrantRequest),
    /// Take note of a decision.
    Note(SiteNote),
}
