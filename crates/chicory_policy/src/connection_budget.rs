//! Limits the memory and the number of the connections of clients.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::time::Duration;

use chicory_types::MonoTime;

/// Id of a connection in a [`ConnectionBudget`].
pub type ConnectionId = u64;
/// Id of a listener whose connections are counted together.
pub type ListenerId = u32;

/// Memory that each open connection occupies, in bytes.
pub const CONNECTION_BYTES: u64 = 24 * 1024;
/// Memory up to which a connection may use the whole budget, in bytes.
const SMALL_BYTES: u64 = 64 * 1024;
/// Fraction of the budget that connections with more memory leave free.
const RESERVE_FRACTION: u64 = 8;
/// Time without progress after which a connection that is in use may be closed for a new one.
const STALLED_AFTER: Duration = Duration::from_millis(100);

/// What a connection does.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectionState {
    /// It waits for a request, or receives the head of one.
    Idle,
    /// It receives the body of a request.
    Receiving,
    /// Its request is complete and has no answer yet.
    Serving,
    /// It sends an answer.
    Answering,
}

/// How a connection makes room for others.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Eviction {
    /// Its request, whose body is incomplete, is refused.
    Refuse,
    /// It is closed.
    Close,
}

/// Whether a connection may be opened or use more memory.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum BudgetStep {
    /// It may, and these connections make room for it.
    Granted(BTreeMap<ConnectionId, Eviction>),
    /// It may not.
    Refused,
}

/// Limits the memory and the number of the connections of clients.
///
/// The load that it answers: clients that occupy as much as the limits of a single request allow, on
/// many connections at once, and never finish. If memory runs out, the connection that occupies the
/// most gives way, so that a crowd of large requests can't displace smaller ones; of equal ones,
/// that which has made no progress for longest. If connections run out, it is the one that has been
/// idle for longest, and then one that has stalled. A request that is complete is never evicted, as
/// a server may be running it.
///
/// # Examples
///
/// ```
/// use chicory_policy::{BudgetStep, ConnectionBudget, ConnectionState, Eviction};
/// use std::collections::BTreeMap;
/// use std::time::Duration;
///
/// let mut budget = ConnectionBudget::new(1_000_000);
/// let now = Duration::from_secs(1);
/// for connection in [1, 2] {
///     budget.open(now, connection, 0, 10);
///     budget.set_state(now, connection, ConnectionState::Receiving);
/// }
/// budget.set_content(now, 1, 800_000);
/// let step = budget.set_content(now, 2, 200_000);
/// assert_eq!(step, BudgetStep::Granted(BTreeMap::from([(1, Eviction::Refuse)])));
/// ```
#[derive(Clone, Debug)]
pub struct ConnectionBudget {
    max_bytes: u64,
    used_bytes: u64,
    /// Memory of evicted connections that they have yet to free.
    releasing_bytes: u64,
    connections: BTreeMap<ConnectionId, Connection>,
    counts: BTreeMap<ListenerId, usize>,
}

/// A connection that gives way to another one.
struct Victim {
    id: ConnectionId,
    eviction: Eviction,
    bytes: u64,
    freed_bytes: u64,
    progress_at: MonoTime,
}

#[derive(Clone, Debug)]
struct Connection {
    listener: ListenerId,
    state: ConnectionState,
    /// Memory of the connection itself and of bytes that were received but not used yet.
    buffer_bytes: u64,
    /// Memory of a body or an answer.
    content_bytes: u64,
    /// Memory that the connection was asked to free and still occupies.
    releasing_bytes: u64,
    progress_at: MonoTime,
    is_closing: bool,
}

impl Connection {
    fn bytes(&self) -> u64 {
        self.buffer_bytes + self.content_bytes
    }

    /// Returns how the connection can be evicted to free memory, and how much that frees.
    fn eviction(&self) -> Option<(Eviction, u64)> {
        match self.state {
            _ if self.is_closing => None,
            ConnectionState::Serving => None,
            ConnectionState::Receiving => Some((Eviction::Refuse, self.content_bytes)),
            ConnectionState::Idle | ConnectionState::Answering => {
                Some((Eviction::Close, self.bytes()))
            }
        }
    }
}

impl ConnectionBudget {
    /// Creates a budget of this many bytes without connections.
    #[must_use]
    pub fn new(max_bytes: u64) -> Self {
        Self {
            max_bytes,
            used_bytes: 0,
            releasing_bytes: 0,
            connections: BTreeMap::new(),
            counts: BTreeMap::new(),
        }
    }

    /// Returns the greatest memory that the content of a single connection may occupy, in bytes.
    #[must_use]
    pub fn max_content_bytes(&self) -> u64 {
        (self.max_bytes - self.reserve_bytes()).saturating_sub(CONNECTION_BYTES)
    }

    /// Returns the memory that connections occupy, in bytes.
    #[must_use]
    pub fn used_bytes(&self) -> u64 {
        self.used_bytes
    }

    /// Whether evicted connections have to free memory before more is used.
    #[must_use]
    pub fn is_exhausted(&self) -> bool {
        self.releasing_bytes > 0 && self.used_bytes + self.releasing_bytes > self.max_bytes
    }

    /// Returns the number of open connections of a listener.
    #[must_use]
    pub fn connection_count(&self, listener: ListenerId) -> usize {
        self.counts.get(&listener).copied().unwrap_or_default()
    }

    /// Opens a connection of a listener that may have `max_connections`.
    pub fn open(
        &mut self,
        now: MonoTime,
        id: ConnectionId,
        listener: ListenerId,
        max_connections: usize,
    ) -> BudgetStep {
        let mut evictions = BTreeMap::new();
        if self.connection_count(listener) >= max_connections {
            let Some(victim) = self.replaceable(now, listener) else {
                return BudgetStep::Refused;
            };
            self.evict(victim, Eviction::Close);
            evictions.insert(victim, Eviction::Close);
        }
        let connection = Connection {
            listener,
            state: ConnectionState::Idle,
            buffer_bytes: 0,
            content_bytes: 0,
            releasing_bytes: 0,
            progress_at: now,
            is_closing: false,
        };
        self.connections.insert(id, connection);
        *self.counts.entry(listener).or_default() += 1;
        match self.set_buffer(now, id, CONNECTION_BYTES) {
            BudgetStep::Granted(others) => {
                evictions.extend(others);
                BudgetStep::Granted(evictions)
            }
            BudgetStep::Refused => {
                self.close(id);
                BudgetStep::Refused
            }
        }
    }

    /// Sets the memory of the connection itself, including bytes that were received but not used.
    pub fn set_buffer(&mut self, now: MonoTime, id: ConnectionId, bytes: u64) -> BudgetStep {
        let Some(connection) = self.connections.get(&id) else {
            return BudgetStep::Refused;
        };
        let step = self.make_room(id, bytes.saturating_sub(connection.buffer_bytes));
        self.finish(now, id, step, |connection| connection.buffer_bytes = bytes)
    }

    /// Sets the memory of the body that a connection receives or of the answer that it sends.
    pub fn set_content(&mut self, now: MonoTime, id: ConnectionId, bytes: u64) -> BudgetStep {
        let Some(connection) = self.connections.get(&id) else {
            return BudgetStep::Refused;
        };
        let step = self.make_room(id, bytes.saturating_sub(connection.content_bytes));
        self.finish(now, id, step, |connection| connection.content_bytes = bytes)
    }

    /// Sets what a connection does from now on.
    pub fn set_state(&mut self, now: MonoTime, id: ConnectionId, state: ConnectionState) {
        if let Some(connection) = self.connections.get_mut(&id) {
            connection.state = state;
            connection.progress_at = now;
        }
    }

    /// Records that a connection has made progress.
    pub fn record_progress(&mut self, now: MonoTime, id: ConnectionId) {
        if let Some(connection) = self.connections.get_mut(&id) {
            connection.progress_at = now;
        }
    }

    /// Records that a connection has freed its body or answer.
    pub fn release_content(&mut self, id: ConnectionId) {
        if let Some(connection) = self.connections.get_mut(&id) {
            self.used_bytes -= connection.content_bytes;
            connection.content_bytes = 0;
            if !connection.is_closing {
                self.releasing_bytes -= connection.releasing_bytes;
                connection.releasing_bytes = 0;
            }
        }
    }

    /// Records that a connection was closed.
    pub fn close(&mut self, id: ConnectionId) {
        let Some(connection) = self.connections.remove(&id) else {
            return;
        };
        self.used_bytes -= connection.bytes();
        self.releasing_bytes -= connection.releasing_bytes;
        if !connection.is_closing {
            self.uncount(connection.listener);
        }
    }

    fn reserve_bytes(&self) -> u64 {
        self.max_bytes / RESERVE_FRACTION
    }

    fn uncount(&mut self, listener: ListenerId) {
        if let Some(count) = self.counts.get_mut(&listener) {
            *count -= 1;
        }
    }

    /// Applies a change of a connection's memory if there is room for it.
    fn finish(
        &mut self,
        now: MonoTime,
        id: ConnectionId,
        step: BudgetStep,
        change: impl FnOnce(&mut Connection),
    ) -> BudgetStep {
        if let Some(connection) = self.connections.get_mut(&id)
            && step != BudgetStep::Refused
        {
            self.used_bytes -= connection.bytes();
            change(connection);
            connection.progress_at = now;
            self.used_bytes += connection.bytes();
        }
        step
    }

    /// Evicts connections until this one can occupy `bytes` more.
    fn make_room(&mut self, id: ConnectionId, bytes: u64) -> BudgetStep {
        let mut evictions = BTreeMap::new();
        let connection = self.connections.get(&id);
        let Some(connection) = connection.filter(|connection| !connection.is_closing) else {
            return BudgetStep::Refused;
        };
        if bytes == 0 {
            return BudgetStep::Granted(evictions);
        }
        let (wanted_bytes, progress_at) = (connection.bytes() + bytes, connection.progress_at);
        // A request that is refused may come again, while an answer that is not sent is lost.
        let may_use_reserve =
            wanted_bytes <= SMALL_BYTES || connection.state == ConnectionState::Answering;
        let usable_bytes = if may_use_reserve {
            self.max_bytes
        } else {
            self.max_bytes - self.reserve_bytes()
        };
        let missing_bytes = (self.used_bytes + bytes).saturating_sub(usable_bytes);
        if missing_bytes == 0 {
            return BudgetStep::Granted(evictions);
        }
        if wanted_bytes > usable_bytes {
            return BudgetStep::Refused;
        }
        let mut victims = self.victims_for(id, wanted_bytes, progress_at);
        let freeable_bytes: u64 = victims.iter().map(|victim| victim.freed_bytes).sum();
        if freeable_bytes < missing_bytes {
            return BudgetStep::Refused;
        }
        victims.sort_by_key(|victim| (Reverse(victim.bytes), victim.progress_at));
        let mut freed_bytes = 0;
        for victim in victims {
            if freed_bytes >= missing_bytes {
                break;
            }
            freed_bytes += victim.freed_bytes;
            self.evict(victim.id, victim.eviction);
            evictions.insert(victim.id, victim.eviction);
        }
        BudgetStep::Granted(evictions)
    }

    /// Returns the connections that give way to one that wants so much memory.
    fn victims_for(
        &self,
        id: ConnectionId,
        wanted_bytes: u64,
        progress_at: MonoTime,
    ) -> Vec<Victim> {
        let others = self.connections.iter().filter(|(other, _)| **other != id);
        let victims = others.filter_map(|(other, connection)| {
            let bytes = connection.bytes();
            let gives_way = bytes > wanted_bytes
                || (bytes == wanted_bytes && connection.progress_at < progress_at);
            let (eviction, freed_bytes) = connection.eviction()?;
            if !gives_way || freed_bytes == 0 {
                return None;
            }
            Some(Victim {
                id: *other,
                eviction,
                bytes,
                freed_bytes,
                progress_at: connection.progress_at,
            })
        });
        victims.collect()
    }

    /// Returns the connection of a listener that is closed for a new one.
    fn replaceable(&self, now: MonoTime, listener: ListenerId) -> Option<ConnectionId> {
        let of_listener = self.connections.iter().filter(|(_, connection)| {
            connection.listener == listener && connection.eviction().is_some()
        });
        let replaceable = of_listener.filter(|(_, connection)| {
            connection.state == ConnectionState::Idle
                || now.saturating_sub(connection.progress_at) >= STALLED_AFTER
        });
        let longest = replaceable.min_by_key(|(_, connection)| {
            let is_in_use = connection.state != ConnectionState::Idle;
            (is_in_use, connection.progress_at)
        });
        longest.map(|(id, _)| *id)
    }

    fn evict(&mut self, id: ConnectionId, eviction: Eviction) {
        let Some(connection) = self.connections.get_mut(&id) else {
            return;
        };
        let bytes_before = connection.bytes();
        connection.content_bytes = 0;
        match eviction {
            Eviction::Refuse => {
                connection.state = ConnectionState::Idle;
            }
            Eviction::Close => {
                connection.buffer_bytes = 0;
                connection.is_closing = true;
            }
        }
        let freed_bytes = bytes_before - connection.bytes();
        connection.releasing_bytes += freed_bytes;
        let listener = connection.listener;
        self.used_bytes -= freed_bytes;
        self.releasing_bytes += freed_bytes;
        if eviction == Eviction::Close {
            self.uncount(listener);
        }
    }
}
