//! The channel from the tasks of the process to the core loop.

use chicory_dispatch::{Event, RequestHead};
use tokio::sync::mpsc::{self, UnboundedReceiver, UnboundedSender};

use crate::exchange::Exchange;
use crate::input::Input;

/// The sending end of the channel from the tasks of the process to the core loop.
///
/// The channel is unbounded, because the limits on open requests and connections already bound the
/// number of queued inputs.
#[derive(Clone, Debug)]
pub(crate) struct Inbox {
    sender: UnboundedSender<Input>,
}

impl Inbox {
    pub(crate) fn new() -> (Self, UnboundedReceiver<Input>) {
        let (sender, receiver) = mpsc::unbounded_channel();
        (Self { sender }, receiver)
    }

    /// Sends an input to the core loop; after the end of the loop the input is dropped.
    pub(crate) fn send(&self, input: Input) {
        let _ = self.sender.send(input);
    }

    /// Sends a request to the core loop, which then always answers it.
    ///
    /// Returns `false` after the end of the loop, in which case the request is certain not to run.
    #[must_use]
    pub(crate) fn send_request(&self, head: RequestHead, exchange: Exchange) -> bool {
        let arrived = Input::Arrived(Box::new((head, exchange)));
        self.sender.send(arrived).is_ok()
    }

    pub(crate) fn send_event(&self, event: Event) {
        self.send(Input::Event(event));
    }
}
