//! Events for the reducer.

use std::net::SocketAddr;

use chicory_consensus::RestoredState;
use chicory_directory::{DirectoryPosition, EntryMessage, PeerEnvelope, SiteCall};
use chicory_ranges::{CallId, CallOutcome};
use chicory_types::{Incarnation, VmId, ZoneName};

use super::EntryLinkId;

/// Identifier of a call to this process's own interfaces, unique while the process runs.
pub type CallerId = u64;

/// An event for [`SiteCore::reduce`](crate::SiteCore::reduce).
#[derive(Clone, Debug)]
pub enum SiteEvent {
    /// Time has passed; due no later than [`SiteCore::next_wakeup`](crate::SiteCore::next_wakeup).
    Tick,
    /// The storage was opened.
    StorageOpened {
        /// Incarnation of this member, which the stored files belong to.
        incarnation: Incarnation,
        /// State restored from these files.
        restored: RestoredState,
        /// Whether the data folder belongs to a founder of the group.
        is_founder: bool,
    },
    /// The state with this ticket is durable.
    Persisted {
        /// The ticket.
        ticket: u64,
    },
    /// The state with this ticket could not be made durable.
    PersistFailed {
        /// The ticket.
        ticket: u64,
    },
    /// An operator or a backend server made a call.
    CallReceived {
        /// Identifier that the answer refers to.
        caller: CallerId,
        /// The call.
        call: SiteCall,
    },
    /// Another control VM opened a link and named its availability zone.
    PeerConnected {
        /// Id of that control VM.
        vm: VmId,
        /// Its availability zone.
        zone: ZoneName,
    },
    /// Another control VM sent a message.
    PeerSent {
        /// Id of that control VM.
        from: VmId,
        /// The message.
        envelope: PeerEnvelope,
    },
    /// A call to a backend server ended.
    GrantCallEnded {
        /// The call.
        call: CallId,
        /// Its outcome.
        outcome: CallOutcome,
    },
    /// An entry VM opened a link.
    EntryConnected {
        /// The link.
        link: EntryLinkId,
        /// Id of the entry VM.
        vm: VmId,
        /// Its availability zone.
        zone: ZoneName,
        /// Position of the directory that it has.
        known: DirectoryPosition,
        /// Address on which it accepts requests of other entry VMs, if it relays any.
        relay_address: Option<SocketAddr>,
        /// Processor cores that it may use, if it states them.
        cpu_share: Option<f64>,
    },
    /// An entry VM sent a message.
    EntrySent {
        /// The link.
        link: EntryLinkId,
        /// The message.
        message: EntryMessage,
    },
    /// The link of an entry VM has written all messages that were sent to it.
    EntryLinkReady {
        /// The link.
        link: EntryLinkId,
    },
    /// A link of an entry VM ended.
    EntryDisconnected {
        /// The link.
        link: EntryLinkId,
    },
    /// The process is about to stop.
    Stopping,
}
