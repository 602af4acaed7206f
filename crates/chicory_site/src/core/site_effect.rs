//! Effects that the reducer returns for its caller to carry out.

use std::net::SocketAddr;

use chicory_consensus::{Entry, HardState, Snapshot};
use chicory_directory::{ControlMessage, PeerEnvelope, SiteAnswer};
use chicory_ranges::{CallId, GrantCall, LinkId, ServerIncarnation};
use chicory_types::{LogIndex, MonoTime, VmId};

use super::{CallerId, EntryLinkId, SiteNote};

/// A call to a backend server.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct GrantRequest {
    /// Identifier that the outcome refers to.
    pub call: CallId,
    /// The server.
    pub incarnation: ServerIncarnation,
    /// Its address.
    pub address: SocketAddr,
    /// Content of the call.
    pub content: GrantCall,
    /// The connection that a grant has to use; `None` if it may use any. If it is closed, the
    /// outcome is [`LinkLost`](chicory_ranges::CallOutcome::LinkLost).
    pub link: Option<LinkId>,
    /// The call is not sent at this time or later, whatever has delayed it: the next leader doesn't
    /// wait for it any longer.
    pub send_before: MonoTime,
}

/// An effect returned by [`SiteCore::reduce`](crate::SiteCore::reduce), to be carried out in order.
#[derive(Clone, Debug)]
pub enum SiteEffect {
    /// Make state durable; the fields are those of
    /// [`ReplicaEffect::Persist`](chicory_consensus::ReplicaEffect::Persist).
    Persist {
        /// Identifier that the resulting event refers to.
        ticket: u64,
        /// New term and vote.
        hard_state: Option<HardState>,
        /// Remove stored entries from this index on.
        truncate_from: Option<LogIndex>,
        /// Snapshot that replaces all entries up to its last index.
        snapshot: Option<Snapshot>,
        /// Entries to append.
        entries: Vec<Entry>,
    },
    /// Open the storage again after a failure, with retries until it works.
    ReopenStorage,
    /// Answer a call.
    Answer {
        /// Identifier of the call.
        caller: CallerId,
        /// The answer.
        answer: SiteAnswer,
    },
    /// Send a message to another control VM; it may be lost.
    SendToPeer {
        /// Id of that control VM.
        to: VmId,
        /// The message.
        envelope: PeerEnvelope,
    },
    /// Send a message to entry VMs, and report with
    /// [`SiteEvent::EntryLinkReady`](crate::SiteEvent::EntryLinkReady) when a link has written it.
    SendToEntries {
        /// Their links.
        links: Vec<EntryLinkId>,
        /// The message.
        message: ControlMessage,
    },
    /// Call a backend server.
    Grant(GrantRequest),
    /// Write a decision to the log.
    Note(SiteNote),
}
