//! What reaches the loop of the process.

use bytes::Bytes;
use chicory_directory::{SiteAnswer, SiteCall};
use tokio::sync::{mpsc, oneshot};

use crate::{EntryLinkId, SiteEvent};

/// What reaches the loop of the process.
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
        /// Takes encoded messages.
        outbox: mpsc::Sender<Bytes>,
    },
    /// The process is to stop.
    Stop { done: oneshot::Sender<()> },
}
