//! Inputs of the event loop.

use bytes::Bytes;
use chicory_directory::{SiteAnswer, SiteCall};
use tokio::sync::{mpsc, oneshot};

use crate::{EntryLinkId, SiteEvent};

/// An input of the event loop.
pub(super) enum SiteInput {
    /// An event for the reducer.
    Event(SiteEvent),
    /// A call of an operator or a backend server.
    Call {
        call: SiteCall,
        reply: oneshot::Sender<SiteAnswer>,
    },
    /// A link of an entry VM, before its first event.
    EntryLink {
        link: EntryLinkId,
        /// Queue of encoded messages for the link.
        outbox: mpsc::Sender<Bytes>,
    },
    /// The process is about to stop.
    Stop { done: oneshot::Sender<()> },
}
