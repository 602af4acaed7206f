//! What a step of the group asks of its owner, in order.

use chicory_consensus::{MemberId, PeerMessage, ProposalRejection};
use chicory_types::Term;

use crate::{DecodeError, PersistRequest};

/// What a step of the group asks of its owner, in order.
#[derive(Debug)]
pub enum GroupEffect<O, W> {
    /// Send a message to another member.
    Send {
        /// The receiver.
        to: MemberId,
        /// The message.
        message: PeerMessage,
    },
    /// Make state durable and answer with the ticket.
    Persist(Box<PersistRequest>),
    /// A command was committed and applied.
    Applied {
        /// What it did.
        outcome: O,
        /// Who waits for it in this process.
        waiter: Option<W>,
    },
    /// A proposal was not taken, or its outcome is unknown.
    Rejected {
        /// Who waits for it.
        waiter: W,
        /// Why.
        reason: ProposalRejection,
    },
    /// This process leads the group from now on.
    BecameLeader {
        /// Its term.
        term: Term,
    },
    /// This process leads the group no longer.
    LostLeadership,
    /// The group was formed anew without this member.
    Superseded {
        /// Epoch of the new group.
        group_epoch: u64,
    },
    /// A committed command or a snapshot could not be read: this replica must stop.
    Corrupt(DecodeError),
}
