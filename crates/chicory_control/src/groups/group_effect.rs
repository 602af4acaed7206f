//! The effects that a group leaves to its owner.

use chicory_consensus::{MemberId, PeerMessage, ProposalRejection};
use chicory_types::Term;

use crate::{DecodeError, PersistRequest};

/// An effect that a group leaves to its owner, which has to carry effects out in order.
#[derive(Debug)]
pub enum GroupEffect<O, W> {
    /// Send a message to another member.
    Send {
        /// The receiver.
        to: MemberId,
        /// The message.
        message: PeerMessage,
    },
    /// Make state durable, then report its ticket back.
    Persist(Box<PersistRequest>),
    /// A command was committed and applied.
    Applied {
        /// Result of the command.
        outcome: O,
        /// What waits for it in this process.
        waiter: Option<W>,
    },
    /// A proposal was rejected, or its outcome is unknown.
    Rejected {
        /// What waits for it in this process.
        waiter: W,
        /// Reason of the rejection.
        reason: ProposalRejection,
    },
    /// This process became the leader of the group.
    BecameLeader {
        /// Its term.
        term: Term,
    },
    /// This process no longer leads the group.
    LostLeadership,
    /// A new group was formed without this member.
    Superseded {
        /// Epoch of the new group.
        group_epoch: u64,
    },
    /// A committed command or a snapshot could not be read: this replica must stop.
    Corrupt(DecodeError),
}
