//! The way from the tasks of the process to its loop.

use chicory_dispatch::{Event, RequestHead};
use tokio::sync::mpsc::{self, UnboundedReceiver, UnboundedSender};

use crate::exchange::Exchange;
use crate::input::Input;

/// The way from the tasks of the process to its loop.
///
/// It is unbounded, since the number of open requests and connections bounds what can wait in it.
#[derive(Clone, Debug)]
pub(crate) struct Inbox {
    sender: UnboundedSender<Input>,
}

impl Inbox {
    pub(crate) fn new() -> (Self, UnboundedReceiver<Input>) {
        let (sender, receiver) = mpsc::unbounded_channel();
        (Self { sender }, receiver)
    }

    /// Tells the loop; what comes after its end is dropped.
    pub(crate) fn send(&self, input: Input) {
        let _ = self.sender.send(input);
    }

    /// Hands a request to the loop, which answers it in any case; `false` after the loop's end,
    /// when the request surely won't run.
    #[must_use]
    pub(crate) fn arrive(&self, head: RequestHead, exchange: Exchange) -> bool {
        let arrived = Input::Arrived(Box::new((head, exchange)));
        self.sender.send(arrived).is_ok()
    }

    pub(crate) fn send_event(&self, event: Event) {
        self.send(Input::Event(event));
    }
}
