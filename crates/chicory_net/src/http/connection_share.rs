//! What one connection uses of the budget of all of them.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::task::{Context, Poll};

use chicory_policy::{CONNECTION_BYTES, ConnectionId, ConnectionState, Eviction};

use crate::http::client_budget::{ClientBudget, EvictionSignal};

/// Bytes of a request's head that the memory of an open connection covers.
const COVERED_BYTES: u64 = 4 * 1024;
/// Step in which received bytes are counted.
const READ_STEP_BYTES: u64 = 4 * 1024;
/// Memory for each byte that was received and is not used yet. Buffers grow by doubling.
const BUFFER_FACTOR: u64 = 2;
/// Most bytes of a request, besides its body, that a connection keeps. Longer requests are received
/// through a buffer of this size.
pub(crate) const MAX_BUFFER_BYTES: usize = 64 * 1024;

/// What one connection uses of the budget of all of them. Clones are handles to the same connection.
#[derive(Clone, Debug)]
pub struct ConnectionShare {
    inner: Arc<Inner>,
}

#[derive(Debug)]
struct Inner {
    budget: ClientBudget,
    id: ConnectionId,
    evicted: EvictionSignal,
    /// Bytes that were received since the last answer, up to [`MAX_BUFFER_BYTES`].
    read_bytes: AtomicU64,
    /// Most received bytes that were counted. Buffers don't shrink while a connection is open.
    counted_bytes: AtomicU64,
}

impl ConnectionShare {
    pub(crate) fn new(budget: ClientBudget, id: ConnectionId, evicted: EvictionSignal) -> Self {
        Self {
            inner: Arc::new(Inner {
                budget,
                id,
                evicted,
                read_bytes: AtomicU64::new(0),
                counted_bytes: AtomicU64::new(0),
            }),
        }
    }

    /// Returns the length of the longest body that the connection can hold, in bytes.
    #[must_use]
    pub fn max_content_bytes(&self) -> u64 {
        self.inner.budget.max_content_bytes()
    }

    /// Sets the memory that the connection's body or answer occupies. Returns whether there is room
    /// for it.
    #[must_use]
    pub fn set_content(&self, bytes: u64) -> bool {
        self.inner.budget.set_content(self.inner.id, bytes)
    }

    /// Records that all of a request has been received, so that it is not evicted any more.
    pub fn finish_receiving(&self) {
        self.set_state(ConnectionState::Serving);
    }

    /// Records that the connection has freed its body or answer.
    pub fn release_content(&self) {
        self.inner.budget.release_content(self.inner.id);
    }

    /// Waits until the connection has to make room for others.
    pub async fn evicted(&self) {
        self.wait_for(|eviction| eviction.is_some()).await;
    }

    /// Waits until the connection has to be closed to make room for others.
    pub(crate) async fn closed(&self) {
        self.wait_for(|eviction| eviction == Some(Eviction::Close))
            .await;
    }

    pub(crate) fn set_state(&self, state: ConnectionState) {
        self.inner.budget.set_state(self.inner.id, state);
    }

    pub(crate) fn record_progress(&self) {
        self.inner.budget.record_progress(self.inner.id);
    }

    /// Waits until evicted connections have freed memory, if no more may be received before.
    pub(crate) fn poll_room(&self, cx: &mut Context<'_>) -> Poll<()> {
        self.inner.budget.poll_room(cx)
    }

    /// Records that bytes were received. Returns whether there is room for them.
    pub(crate) fn record_read(&self, bytes: usize) -> bool {
        let before = self.inner.read_bytes.load(Ordering::Relaxed);
        let read_bytes = (before + bytes as u64).min(MAX_BUFFER_BYTES as u64);
        self.inner.read_bytes.store(read_bytes, Ordering::Relaxed);
        let counted_bytes = counted_bytes(read_bytes);
        if counted_bytes <= self.inner.counted_bytes.load(Ordering::Relaxed) {
            return true;
        }
        let counted = &self.inner.counted_bytes;
        counted.store(counted_bytes, Ordering::Relaxed);
        let bytes = CONNECTION_BYTES + counted_bytes * BUFFER_FACTOR;
        self.inner.budget.set_buffer(self.inner.id, bytes)
    }

    /// Records that an answer was passed on to its end, so that the connection waits for a request.
    pub(crate) fn finish_request(&self) {
        self.inner.read_bytes.store(0, Ordering::Relaxed);
        self.release_content();
        self.set_state(ConnectionState::Idle);
        // The eviction of a request does not concern the next one.
        self.inner.evicted.send_if_modified(|eviction| {
            let is_settled = *eviction == Some(Eviction::Refuse);
            if is_settled {
                *eviction = None;
            }
            is_settled
        });
    }

    /// Closes the connection, as there is no room for its answer.
    pub(crate) fn abort(&self) {
        self.inner.evicted.send_replace(Some(Eviction::Close));
    }

    /// Whether the connection has to be closed.
    pub(crate) fn is_aborted(&self) -> bool {
        *self.inner.evicted.borrow() == Some(Eviction::Close)
    }

    /// Records that the connection is closed.
    pub(crate) fn close(&self) {
        self.inner.budget.close(self.inner.id);
    }

    async fn wait_for(&self, is_met: impl Fn(Option<Eviction>) -> bool) {
        let mut evicted = self.inner.evicted.subscribe();
        // The sender lives as long as this share, so the wait can't fail.
        drop(evicted.wait_for(|eviction| is_met(*eviction)).await);
    }
}

impl Drop for Inner {
    fn drop(&mut self) {
        self.budget.close(self.id);
    }
}

/// Returns how many of the received bytes count beyond the memory of an open connection.
fn counted_bytes(read_bytes: u64) -> u64 {
    let beyond = read_bytes.saturating_sub(COVERED_BYTES);
    beyond.next_multiple_of(READ_STEP_BYTES)
}
