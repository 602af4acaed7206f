//! The sending end of a stream of messages without replies.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use chicory_telemetry::Metrics;
use prost::Message;
use quinn::SendStream;
use snafu::ResultExt;
use tokio::sync::Notify;
use tokio::task::JoinHandle;

use crate::NetMetric;
use crate::peer::frame_error::WriteSnafu;
use crate::peer::{Frame, FrameError, PeerEndpoint, PeerError, StreamKind};

/// Pause after a failed attempt to open a stream.
const REOPEN_PAUSE: Duration = Duration::from_millis(50);

/// Sends messages to one peer, in order, over one long-lived stream.
///
/// Messages wait in a bounded queue; if it is full, the oldest message is dropped. A stream that
/// fails is replaced by a new one. Messages may therefore be lost, but within one stream they are
/// never reordered.
#[derive(Debug)]
pub struct MessageSender {
    queue: Arc<Queue>,
    task: JoinHandle<()>,
    metrics: Arc<Metrics>,
}

#[derive(Debug)]
struct Queue {
    frames: Mutex<VecDeque<Bytes>>,
    limit: usize,
    frame_added: Notify,
}

impl MessageSender {
    /// Creates a sender to a peer, whose queue holds `queue_limit` messages.
    ///
    /// Must be called within a tokio runtime.
    #[must_use]
    pub fn new(
        endpoint: PeerEndpoint,
        peer: SocketAddr,
        queue_limit: usize,
        metrics: Arc<Metrics>,
    ) -> Self {
        let queue = Arc::new(Queue {
            frames: Mutex::default(),
            limit: queue_limit,
            frame_added: Notify::new(),
        });
        let task = tokio::spawn(send_all(endpoint, peer, queue.clone()));
        Self {
            queue,
            task,
            metrics,
        }
    }

    /// Appends a message to the queue without waiting.
    ///
    /// # Errors
    ///
    /// Returns an error if the message is too long for a frame.
    pub fn send(&self, message: &impl Message) -> Result<(), FrameError> {
        let frame = Frame::encode(message)?;
        if self.queue.push(frame) {
            self.metrics.increment(NetMetric::DroppedMessages);
        }
        Ok(())
    }
}

impl Drop for MessageSender {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl Queue {
    /// Appends a frame and returns whether the oldest one was dropped.
    fn push(&self, frame: Bytes) -> bool {
        let mut frames = self.frames.lock().unwrap_or_else(PoisonError::into_inner);
        let is_full = frames.len() >= self.limit;
        if is_full {
            frames.pop_front();
        }
        frames.push_back(frame);
        self.frame_added.notify_one();
        is_full
    }

    async fn pop(&self) -> Bytes {
        loop {
            let frame_added = self.frame_added.notified();
            if let Some(frame) = self.try_pop() {
                return frame;
            }
            frame_added.await;
        }
    }

    fn try_pop(&self) -> Option<Bytes> {
        let mut frames = self.frames.lock().unwrap_or_else(PoisonError::into_inner);
        frames.pop_front()
    }
}

/// Sends the queued frames until the task is aborted.
async fn send_all(endpoint: PeerEndpoint, peer: SocketAddr, queue: Arc<Queue>) {
    let mut stream: Option<SendStream> = None;
    loop {
        let frame = queue.pop().await;
        let opened = match stream.take() {
            Some(stream) => Ok(stream),
            None => open(&endpoint, peer).await,
        };
        match opened {
            Ok(opened) => stream = write(opened, frame).await.ok(),
            Err(_) => tokio::time::sleep(REOPEN_PAUSE).await,
        }
    }
}

async fn open(endpoint: &PeerEndpoint, peer: SocketAddr) -> Result<SendStream, PeerError> {
    let connection = endpoint.connect(peer).await?;
    connection.open_uni(StreamKind::Messages).await
}

async fn write(mut stream: SendStream, frame: Bytes) -> Result<SendStream, FrameError> {
    stream.write_chunk(frame).await.context(WriteSnafu)?;
    Ok(stream)
}
