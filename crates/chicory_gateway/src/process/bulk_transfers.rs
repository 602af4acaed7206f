//! Transfers of large request bodies over the link of an entry VM.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use chicory_net::http::{BodyError, BodySource, HttpBody};
use chicory_net::peer::BodyPart;
use chicory_policy::{BulkStep, BulkTurns};
use chicory_types::{Clock, MonoTime};
use hyper::body::{Body, Incoming};
use tokio::sync::mpsc;

/// Least size of a body that waits for a turn. Smaller ones delay other messages by little.
const MIN_BULK_BYTES: u64 = 16 * 1024;
/// Size that is assumed for a body whose sender does not state it.
const ASSUMED_BYTES: u64 = 64 * 1024;
/// Bytes that are sent at once.
const CHUNK_BYTES: usize = 8 * 1024;
/// Chunks that may wait to be written.
const CHUNKS_IN_FLIGHT: usize = 1;

/// Transfers of large request bodies over the link of an entry VM.
///
/// On a thin link, bodies are received one after the other, and sent one after the other, so that
/// they don't delay everything else that the link carries. Other links transfer each body as it
/// comes.
pub(super) struct BulkTransfers {
    clock: Arc<dyn Clock + Send + Sync>,
    link: Option<LinkTurns>,
}

struct LinkTurns {
    receiving: Mutex<BulkTurns>,
    sending: Mutex<BulkTurns>,
}

/// The turn of one body that is sent.
#[derive(Clone, Copy)]
pub(super) enum SendTurn {
    /// The body is sent as fast as the link takes it.
    Unlimited,
    /// The body is sent in chunks, one in each period.
    Paced { chunk_period: Duration },
}

impl BulkTransfers {
    /// Creates the transfers over a link with this rate in bytes per second; `None` if bodies don't
    /// have to take turns.
    pub(super) fn new(
        clock: Arc<dyn Clock + Send + Sync>,
        thin_link_bytes_per_s: Option<f64>,
    ) -> Self {
        let link = thin_link_bytes_per_s.map(|bytes_per_s| LinkTurns {
            receiving: Mutex::new(BulkTurns::new(bytes_per_s)),
            sending: Mutex::new(BulkTurns::new(bytes_per_s)),
        });
        Self { clock, link }
    }

    /// Waits until a body may be received.
    ///
    /// # Errors
    ///
    /// Returns the time after which such a body could be received, if it would be too late now.
    pub(super) async fn receive_turn(
        &self,
        body: &Incoming,
        deadline: MonoTime,
    ) -> Result<(), Duration> {
        let Some(link) = &self.link else {
            return Ok(());
        };
        let bytes = body.size_hint().exact().unwrap_or(ASSUMED_BYTES);
        if bytes < MIN_BULK_BYTES {
            return Ok(());
        }
        let step = lock(&link.receiving).reserve(self.clock.now(), bytes, deadline);
        self.wait(step).await
    }

    /// Waits until a body of a request may be sent.
    ///
    /// # Errors
    ///
    /// Returns the time after which such a body could be sent, if it would be too late now.
    pub(super) async fn send_turn(
        &self,
        body: &Bytes,
        deadline: MonoTime,
    ) -> Result<SendTurn, Duration> {
        let bytes = body.len() as u64;
        let link = self.link.as_ref().filter(|_| bytes >= MIN_BULK_BYTES);
        let Some(link) = link else {
            return Ok(SendTurn::Unlimited);
        };
        let (step, chunk_period) = {
            let mut turns = lock(&link.sending);
            let step = turns.reserve(self.clock.now(), bytes, deadline);
            (step, turns.transfer_time(CHUNK_BYTES as u64))
        };
        self.wait(step).await?;
        Ok(SendTurn::Paced { chunk_period })
    }

    async fn wait(&self, step: BulkStep) -> Result<(), Duration> {
        match step {
            BulkStep::BeginAt(at) => {
                let wait = at.saturating_sub(self.clock.now());
                if !wait.is_zero() {
                    tokio::time::sleep(wait).await;
                }
                Ok(())
            }
            BulkStep::TooLate(retry_after) => Err(retry_after),
        }
    }
}

impl SendTurn {
    /// Returns a body that is sent in chunks; `None` if it is sent as a whole.
    pub(super) fn paced_body(self, body: &Bytes) -> Option<HttpBody> {
        let Self::Paced { chunk_period } = self else {
            return None;
        };
        let remaining_bytes = Some(body.len() as u64);
        let (sender, parts) = mpsc::channel(CHUNKS_IN_FLIGHT);
        tokio::spawn(send_chunks(body.clone(), chunk_period, sender));
        Some(HttpBody::new(BodySource::Parts {
            parts,
            remaining_bytes,
        }))
    }
}

/// Sends a body in chunks until it is complete or its receiver is dropped.
async fn send_chunks(
    mut body: Bytes,
    chunk_period: Duration,
    parts: mpsc::Sender<Result<BodyPart, BodyError>>,
) {
    while !body.is_empty() {
        let chunk = body.split_to(CHUNK_BYTES.min(body.len()));
        if parts.send(Ok(BodyPart::Chunk(chunk))).await.is_err() {
            return;
        }
        if !body.is_empty() {
            tokio::time::sleep(chunk_period).await;
        }
    }
    // Fails only if the receiver has all bytes and was dropped.
    drop(parts.send(Ok(BodyPart::End)).await);
}

fn lock(turns: &Mutex<BulkTurns>) -> MutexGuard<'_, BulkTurns> {
    turns.lock().unwrap_or_else(PoisonError::into_inner)
}
