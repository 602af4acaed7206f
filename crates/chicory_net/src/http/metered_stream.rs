//! A connection that accepts only so many bytes.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::task::{Context, Poll, ready};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

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

/// A connection that accepts only so many bytes, and fails after that.
#[derive(Debug)]
pub(crate) struct MeteredStream {
    stream: TcpStream,
    allowance: ByteAllowance,
}

impl MeteredStream {
    pub(crate) fn new(stream: TcpStream, allowance: ByteAllowance) -> Self {
        Self { stream, allowance }
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
        Pin::new(&mut self.stream).poll_write(cx, bytes)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        parts: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(cx, parts)
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
