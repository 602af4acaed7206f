//! A connection that accepts only so many bytes, and notices the end of its peer.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::task::{Context, Poll, ready};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

use crate::http::peer_liveness::{
    UNACKNOWLEDGED_TIMEOUT, has_unacknowledged_timeout, set_probes, set_unacknowledged_timeout,
};

/// Most bytes of a request that any server's receive buffer takes. The kernel closes a connection
/// whose peer has no room for more bytes like one whose peer is gone, so longer requests are sent
/// without a timeout for their acknowledgement.
const MAX_TIMED_BYTES: usize = 16 * 1024;

/// Number of bytes that a [`MeteredStream`] still accepts.
#[derive(Clone, Debug)]
pub(crate) struct ByteAllowance(Arc<AtomicU64>);

impl ByteAllowance {
    pub(crate) fn new(bytes: u64) -> Self {
        Self(Arc::new(AtomicU64::new(bytes)))
    }

    pub(crate) fn set(&self, bytes: u64) {
        self.0.store(bytes, Ordering::Relaxed);
    }

    /// Uses up `bytes`; returns `false` if fewer are left.
    fn use_up(&self, bytes: u64) -> bool {
        let left = self.0.load(Ordering::Relaxed).checked_sub(bytes);
        self.set(left.unwrap_or(0));
        left.is_some()
    }
}

/// Number of bytes of a request that a [`MeteredStream`] has sent.
#[derive(Clone, Debug, Default)]
pub(crate) struct SentBytes(Arc<AtomicUsize>);

impl SentBytes {
    /// Begins to count the bytes of another request.
    pub(crate) fn reset(&self) {
        self.0.store(0, Ordering::Relaxed);
    }

    fn get(&self) -> usize {
        self.0.load(Ordering::Relaxed)
    }

    fn add(&self, bytes: usize) {
        self.0.fetch_add(bytes, Ordering::Relaxed);
    }
}

/// A connection that accepts only so many bytes, and fails after that. It also fails soon after its
/// peer has vanished from the network.
#[derive(Debug)]
pub(crate) struct MeteredStream {
    stream: TcpStream,
    allowance: ByteAllowance,
    sent: SentBytes,
    /// Whether the timeout for acknowledgements was set before, and stays as it is.
    is_timeout_fixed: bool,
    has_timeout: bool,
}

impl MeteredStream {
    pub(crate) fn new(stream: TcpStream, allowance: ByteAllowance, sent: SentBytes) -> Self {
        // Without the options the connection still works, only its loss is noticed later.
        let _ = set_probes(&stream);
        Self {
            is_timeout_fixed: has_unacknowledged_timeout(&stream),
            stream,
            allowance,
            sent,
            has_timeout: false,
        }
    }

    /// Sets or removes the timeout for acknowledgements before `bytes` more are sent.
    fn adjust_timeout(&mut self, bytes: usize) {
        if self.is_timeout_fixed {
            return;
        }
        let sent_before = self.sent.get();
        let is_short = sent_before + bytes <= MAX_TIMED_BYTES;
        let starts_short = is_short && sent_before == 0 && !self.has_timeout;
        let becomes_long = !is_short && self.has_timeout;
        if starts_short || becomes_long {
            let timeout = is_short.then_some(UNACKNOWLEDGED_TIMEOUT);
            self.has_timeout = is_short;
            let _ = set_unacknowledged_timeout(&self.stream, timeout);
        }
    }

    fn record_sent(&self, written: Poll<io::Result<usize>>) -> Poll<io::Result<usize>> {
        if let Poll::Ready(Ok(bytes)) = written {
            self.sent.add(bytes);
        }
        written
    }
}

impl AsyncRead for MeteredStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let filled_before = buffer.filled().len();
        ready!(Pin::new(&mut self.stream).poll_read(cx, buffer))?;
        let received = buffer.filled().len() - filled_before;
        Poll::Ready(if self.allowance.use_up(received as u64) {
            Ok(())
        } else {
            Err(io::Error::new(
                io::ErrorKind::FileTooLarge,
                "the answer is longer than allowed",
            ))
        })
    }
}

impl AsyncWrite for MeteredStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.adjust_timeout(bytes.len());
        let written = Pin::new(&mut self.stream).poll_write(cx, bytes);
        self.record_sent(written)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        parts: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.adjust_timeout(parts.iter().map(|part| part.len()).sum());
        let written = Pin::new(&mut self.stream).poll_write_vectored(cx, parts);
        self.record_sent(written)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
