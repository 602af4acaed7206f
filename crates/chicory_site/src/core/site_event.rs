//! Events that the reducer reacts to.

use chicory_consensus::RestoredState;
use chicory_directory::{DirectoryMark, EntryMessage, PeerEnvelope, SiteCall};
use chicory_ranges::{CallId, CallOutcome};
use chicory_types::{Incarnation, VmId, ZoneName};

use super::EntryLinkId;

/// Identifier of a call of this process's own interfaces, unique in the life of the process.
pub type CallerId = u64;

/// An event for [`SiteCore::reduce`](crate::SiteCore::reduce).
#[derive(Clone, Debug)]
pub enum SiteEvent {
    /// Time went on; due no later than [`SiteCore::next_wakeup`](crate::SiteCore::next_wakeup).
    Tick,
    /// The storage was opened.
    StorageOpened {
        /// Incarnation that the files belong to.
        incarnation: Incarnation,
        /// What they hold.
        restored: RestoredState,
        /// Whether the folder belongs to a founder of the group.
        is_founder: bool,
    },
    /// State of this ticket is durable.
    Persisted {
        /// The ticket.
        ticket: u64,
    },
    /// State of this ticket could not be made durable.
    PersistFailed {
        /// The ticket.
        ticket: u64,
    },
    /// An operator or a backend server called.
    CallReceived {
        /// Identifier for the answer.
        caller: CallerId,
        /// The call.
        call: SiteCall,
    },
    /// Another control VM sent something.
    PeerSent {
        /// Its id.
        from: VmId,
        /// What it sent.
        envelope: PeerEnvelope,
    },
    /// A call to a backend server ended.
    GrantCallEnded {
        /// The call.
        call: CallId,
        /// What became of it.
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
        /// The directory that it has.
        known: DirectoryMark,
    },
    /// An entry VM sent something.
    EntrySent {
        /// The link.
        link: EntryLinkId,
        /// What it sent.
        message: EntryMessage,
    },
    /// The link of an entry VM has taken all that was sent.
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
