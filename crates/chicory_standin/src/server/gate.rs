//! A gate that suspends the tasks that wait for it while it is closed.

use std::cell::{Cell, RefCell};
use std::future::poll_fn;
use std::rc::Rc;
use std::task::{Context, Poll, Waker};

/// A gate that suspends the tasks that wait for it while it is closed; clones share one state.
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
    /// Closes the gate, so that tasks that reach it are suspended.
    pub fn close(&self) {
        self.state.is_closed.set(true);
    }

    /// Opens the gate and wakes the suspended tasks.
    pub fn open(&self) {
        self.state.is_closed.set(false);
        for waker in self.state.wakers.take() {
            waker.wake();
        }
    }

    /// Polls whether the gate is open; a closed gate wakes the task once it opens.
    pub fn poll_open(&self, cx: &mut Context<'_>) -> Poll<()> {
        if !self.state.is_closed.get() {
            return Poll::Ready(());
        }
        self.state.wakers.borrow_mut().push(cx.waker().clone());
        Poll::Pending
    }

    /// Waits until the gate is open.
    pub async fn wait_until_open(&self) {
        poll_fn(|cx| self.poll_open(cx)).await;
    }
}
