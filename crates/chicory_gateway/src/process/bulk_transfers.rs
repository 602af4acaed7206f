//! Transfers of large request bodies over the link of an entry VM.

use std::collections::VecDeque;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use chicory_net::http::{BodyError, BodySource, BufferedBody, HttpBody};
use chicory_net::peer::BodyPart;
use chicory_policy::{BulkStep, BulkTurns};
use tokio::sync::{OwnedSemaphorePermit, Semaphore, mpsc};
use tokio::time::Instant;

/// Least size of a body that waits for a turn. Smaller ones delay other messages by little.
pub(super) const MIN_BULK_BYTES: u64 = 16 * 1024;
/// Size that is assumed for a body whose sender does not state it.
pub(super) const ASSUMED_BYTES: u64 = 64 * 1024;
/// Bytes that are sent at once.
const CHUNK_BYTES: usize = 8 * 1024;
/// Chunks that may wait to be written.
const CHUNKS_IN_FLIGHT: usize = 1;
/// Factor by which a turn may last longer than its transfer should. A slow peer would otherwise
/// hold up all others.
const MAX_TURN_FACTOR: u32 = 2;

/// Transfers of large request bodies over the link of an entry VM.
///
/// On a thin link, bodies are received one after the other, and sent one after the other, so that
/// they don't delay everything else that the link carries. Other links transfer each body as it
/// comes.
pub(super) struct BulkTransfers {
    receiving: Option<Arc<Direction>>,
    sending: Option<Arc<Direction>>,
}

struct Direction {
    turns: Mutex<BulkTurns>,
    /// Held by the body whose turn it is. Waiting bodies get it in the order in which they came.
    turn: Arc<Semaphore>,
}

/// The turn of one body. It ends when this is dropped.
pub(super) struct BulkTurn {
    _queued: QueuedBytes,
    _permit: OwnedSemaphorePermit,
    ends_at: Instant,
    chunk_period: Duration,
}

/// Bytes of a body in the queue of a direction, until this is dropped.
struct QueuedBytes {
    direction: Arc<Direction>,
    bytes: u64,
}

impl BulkTransfers {
    /// Creates the transfers over a link with this rate in bytes per second; `None` if bodies don't
    /// have to take turns.
    pub(super) fn new(thin_link_bytes_per_s: Option<f64>) -> Self {
        let direction = || thin_link_bytes_per_s.map(Direction::new);
        Self {
            receiving: direction(),
            sending: direction(),
        }
    }

    /// Whether bodies take turns, as the link is thin.
    pub(super) fn takes_turns(&self) -> bool {
        self.receiving.is_some()
    }

    /// Waits for the turn of a body that is received; `None` if it needs none.
    ///
    /// # Errors
    ///
    /// Returns the time after which the bodies before it are expected to be transferred, if its own
    /// turn would be too late.
    pub(super) async fn receive_turn(
        &self,
        bytes: u64,
        time_left: Duration,
    ) -> Result<Option<BulkTurn>, Duration> {
        take_turn(self.receiving.as_ref(), bytes, time_left).await
    }

    /// Waits for the turn of a body that is sent; `None` if it needs none.
    ///
    /// # Errors
    ///
    /// As for [`Self::receive_turn`].
    pub(super) async fn send_turn(
        &self,
        bytes: u64,
        time_left: Duration,
    ) -> Result<Option<BulkTurn>, Duration> {
        take_turn(self.sending.as_ref(), bytes, time_left).await
    }
}

impl Direction {
    fn new(link_bytes_per_s: f64) -> Arc<Self> {
        Arc::new(Self {
            turns: Mutex::new(BulkTurns::new(link_bytes_per_s)),
            turn: Arc::new(Semaphore::new(1)),
        })
    }

    fn with_turns<T>(&self, change: impl FnOnce(&mut BulkTurns) -> T) -> T {
        change(&mut self.turns.lock().unwrap_or_else(PoisonError::into_inner))
    }
}

impl Drop for QueuedBytes {
    fn drop(&mut self) {
        self.direction.with_turns(|turns| turns.finish(self.bytes));
    }
}

impl BulkTurn {
    /// Whether the turn has lasted so long that others should not wait for it any more.
    pub(super) fn is_overdue(&self) -> bool {
        Instant::now() >= self.ends_at
    }

    /// Returns a body that is sent in chunks and ends the turn when it is complete or dropped.
    pub(super) fn paced_body(self, body: &BufferedBody) -> HttpBody {
        let remaining_bytes = Some(body.len());
        let (sender, parts) = mpsc::channel(CHUNKS_IN_FLIGHT);
        tokio::spawn(send_chunks(body.clone(), self, sender));
        HttpBody::new(BodySource::Parts {
            parts,
            remaining_bytes,
        })
    }
}

async fn take_turn(
    direction: Option<&Arc<Direction>>,
    bytes: u64,
    time_left: Duration,
) -> Result<Option<BulkTurn>, Duration> {
    let Some(direction) = direction.filter(|_| bytes >= MIN_BULK_BYTES) else {
        return Ok(None);
    };
    let step = direction.with_turns(|turns| turns.queue(bytes, time_left));
    if let BulkStep::TooLate { free_in } = step {
        return Err(free_in);
    }
    let queued = QueuedBytes {
        direction: direction.clone(),
        bytes,
    };
    let (transfer_time, chunk_period) = direction.with_turns(|turns| {
        let chunk = turns.transfer_time(CHUNK_BYTES as u64);
        (turns.transfer_time(bytes), chunk)
    });
    let acquired = tokio::time::timeout(time_left, direction.turn.clone().acquire_owned()).await;
    // The semaphore is never closed, so an error is the end of the caller's time.
    let Ok(Ok(permit)) = acquired else {
        return Err(transfer_time);
    };
    Ok(Some(BulkTurn {
        _queued: queued,
        _permit: permit,
        ends_at: Instant::now() + transfer_time.saturating_mul(MAX_TURN_FACTOR).min(time_left),
        chunk_period,
    }))
}

/// Sends a body in chunks until it is complete or its receiver is dropped.
async fn send_chunks(
    body: BufferedBody,
    turn: BulkTurn,
    parts: mpsc::Sender<Result<BodyPart, BodyError>>,
) {
    let (chunk_period, ends_at) = (turn.chunk_period, turn.ends_at);
    let mut turn = Some(turn);
    let mut chunks: VecDeque<Bytes> = body.segments().iter().flat_map(chunks_of).collect();
    drop(body);
    while let Some(chunk) = chunks.pop_front() {
        let sending = parts.send(Ok(BodyPart::Chunk(chunk)));
        tokio::pin!(sending);
        let mut sent = tokio::time::timeout_at(ends_at, &mut sending).await;
        if sent.is_err() {
            turn = None;
            sent = Ok(sending.await);
        }
        if matches!(sent, Ok(Err(_))) {
            return;
        }
        if !chunks.is_empty() {
            tokio::time::sleep(chunk_period).await;
        }
    }
    drop(turn);
    // Nobody waits for the end if the receiver was dropped.
    drop(parts.send(Ok(BodyPart::End)).await);
}

fn chunks_of(segment: &Bytes) -> impl Iterator<Item = Bytes> {
    let starts = (0..segment.len()).step_by(CHUNK_BYTES);
    starts.map(|start| segment.slice(start..segment.len().min(start + CHUNK_BYTES)))
}
