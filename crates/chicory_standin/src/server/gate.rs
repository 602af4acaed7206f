//! A gate that stops the progress of whatever waits at it.

use std::cell::{Cell, RefCell};
use std::future::poll_fn;
use std::rc::Rc;
use std::task::{Context, Poll, Waker};

/// A gate that stops the progress of whatever waits at it; clones share one state.
#[derive(Clone, Debug, Default)]
pub struct Gate {
    state: Rc<GateState>,
}

#[derive(Debug, Default)]
struct GateState {
    is_closed: Cell<bool>,
    wakers: RefCell<Vec<Waker>>,
}

impl Gate {
    /// Stops everything that passes the gate.
    pub fn close(&self) {
        self.state.is_closed.set(true);
    }

    /// Lets everything go on.
    pub fn open(&self) {
        self.state.is_closed.set(false);
        for waker in self.state.wakers.take() {
            waker.wake();
        }
    }

    /// Ready while the gate is open.
    pub fn poll_pass(&self, cx: &mut Context<'_>) -> Poll<()> {
        if !self.state.is_closed.get() {
            return Poll::Ready(());
        }
        self.state.wakers.borrow_mut().push(cx.waker().clone());
        Poll::Pending
    }

    /// Waits until the gate is open.
    pub async fn pass(&self) {
        poll_fn(|cx| self.poll_pass(cx)).await;
    }
}
