//! What the connections of a process's clients may use.

use std::collections::BTreeMap;
use std::fmt;
use std::sync::{Arc, Mutex, PoisonError};
use std::task::{Context, Poll, Waker};

use chicory_policy::{
    BudgetStep, ConnectionBudget, ConnectionId, ConnectionState, Eviction, ListenerId,
};
use chicory_telemetry::Metrics;
use chicory_types::Clock;
use tokio::sync::watch;

use crate::NetMetric;
use crate::http::connection_share::ConnectionShare;

/// Signals a connection that it makes room for others.
pub(crate) type EvictionSignal = watch::Sender<Option<Eviction>>;

/// What the connections of a process's clients may use: the memory of all of them, and the number
/// of connections of each listener.
///
/// Which connections make room for others is decided by [`ConnectionBudget`]. Clones are handles to
/// the same budget.
#[derive(Clone)]
pub struct ClientBudget {
    inner: Arc<Mutex<Inner>>,
    clock: Arc<dyn Clock + Send + Sync>,
    metrics: Arc<Metrics>,
}

struct Inner {
    policy: ConnectionBudget,
    signals: BTreeMap<ConnectionId, EvictionSignal>,
    next_connection: ConnectionId,
    next_listener: ListenerId,
    /// Tasks that wait until evicted connections have freed memory.
    waiting: Vec<Waker>,
}

impl ClientBudget {
    /// Creates a budget of this many bytes.
    #[must_use]
    pub fn new(max_bytes: u64, clock: Arc<dyn Clock + Send + Sync>, metrics: Arc<Metrics>) -> Self {
        let inner = Inner {
            policy: ConnectionBudget::new(max_bytes),
            signals: BTreeMap::new(),
            next_connection: 0,
            next_listener: 0,
            waiting: Vec::new(),
        };
        Self {
            inner: Arc::new(Mutex::new(inner)),
            clock,
            metrics,
        }
    }

    /// Returns the length of the longest body that a single connection can hold, in bytes.
    #[must_use]
    pub fn max_content_bytes(&self) -> u64 {
        self.with(|inner| inner.policy.max_content_bytes())
    }

    /// Returns the memory that connections occupy, in bytes.
    #[must_use]
    pub fn used_bytes(&self) -> u64 {
        self.with(|inner| inner.policy.used_bytes())
    }

    /// Returns an id for the connections of one listener.
    pub(crate) fn add_listener(&self) -> ListenerId {
        self.with(|inner| {
            inner.next_listener += 1;
            inner.next_listener
        })
    }

    /// Returns the share of a new connection, or `None` if there is no room for it.
    pub(crate) fn open(
        &self,
        listener: ListenerId,
        max_connections: usize,
    ) -> Option<ConnectionShare> {
        let now = self.clock.now();
        let signal = EvictionSignal::new(None);
        let id = self.with(|inner| {
            inner.next_connection += 1;
            let id = inner.next_connection;
            let step = inner.policy.open(now, id, listener, max_connections);
            let is_open = self.carry_out(inner, step);
            is_open.then(|| {
                inner.signals.insert(id, signal.clone());
                id
            })
        })?;
        Some(ConnectionShare::new(self.clone(), id, signal))
    }

    /// Sets the memory of a connection itself. Returns whether there is room for it.
    pub(crate) fn set_buffer(&self, id: ConnectionId, bytes: u64) -> bool {
        let now = self.clock.now();
        self.with(|inner| {
            let step = inner.policy.set_buffer(now, id, bytes);
            self.carry_out(inner, step)
        })
    }

    /// Sets the memory of a connection's body or answer. Returns whether there is room for it.
    pub(crate) fn set_content(&self, id: ConnectionId, bytes: u64) -> bool {
        let now = self.clock.now();
        self.with(|inner| {
            let step = inner.policy.set_content(now, id, bytes);
            self.carry_out(inner, step)
        })
    }

    pub(crate) fn set_state(&self, id: ConnectionId, state: ConnectionState) {
        let now = self.clock.now();
        self.with(|inner| inner.policy.set_state(now, id, state));
    }

    pub(crate) fn record_progress(&self, id: ConnectionId) {
        let now = self.clock.now();
        self.with(|inner| inner.policy.record_progress(now, id));
    }

    /// Records that a connection has freed its body or answer.
    pub(crate) fn release_content(&self, id: ConnectionId) {
        self.with(|inner| {
            inner.policy.release_content(id);
            inner.wake();
        });
    }

    pub(crate) fn close(&self, id: ConnectionId) {
        self.with(|inner| {
            inner.policy.close(id);
            inner.signals.remove(&id);
            inner.wake();
        });
    }

    /// Waits until evicted connections have freed memory, if more must not be used before.
    pub(crate) fn poll_room(&self, cx: &mut Context<'_>) -> Poll<()> {
        self.with(|inner| {
            if !inner.policy.is_exhausted() {
                return Poll::Ready(());
            }
            inner.waiting.push(cx.waker().clone());
            Poll::Pending
        })
    }

    /// Signals the connections that make room. Returns whether the step was granted.
    fn carry_out(&self, inner: &Inner, step: BudgetStep) -> bool {
        let BudgetStep::Granted(evictions) = step else {
            return false;
        };
        for (id, eviction) in evictions {
            let metric = match eviction {
                Eviction::Refuse => NetMetric::EvictedBodies,
                Eviction::Close => NetMetric::EvictedConnections,
            };
            self.metrics.increment(metric);
            if let Some(signal) = inner.signals.get(&id) {
                signal.send_replace(Some(eviction));
            }
        }
        true
    }

    fn with<T>(&self, change: impl FnOnce(&mut Inner) -> T) -> T {
        change(&mut self.inner.lock().unwrap_or_else(PoisonError::into_inner))
    }
}

impl Inner {
    /// Wakes the tasks that wait if there is room again.
    fn wake(&mut self) {
        if !self.policy.is_exhausted() {
            for waker in self.waiting.drain(..) {
                waker.wake();
            }
        }
    }
}

impl fmt::Debug for ClientBudget {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("ClientBudget").finish_non_exhaustive()
    }
}
