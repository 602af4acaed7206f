//! A TCP stream that makes no progress while a gate is closed.

use std::io;
use std::pin::Pin;
use std::task::{Context, Poll, ready};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

use super::gate::Gate;

/// A TCP stream that makes no progress while one of its gates is closed.
///
/// The end of the stream isn't reported while a gate is closed either, because a frozen process
/// doesn't notice it.
#[derive(Debug)]
pub struct GatedIo {
    stream: TcpStream,
    gates: [Gate; 2],
}

impl GatedIo {
    /// Wraps `stream` so that it makes progress only while both gates are open.
    pub fn new(stream: TcpStream, gates: [Gate; 2]) -> Self {
        Self { stream, gates }
    }

    fn poll_gates(&self, cx: &mut Context<'_>) -> Poll<()> {
        for gate in &self.gates {
            ready!(gate.poll_open(cx));
        }
        Poll::Ready(())
    }
}

impl AsyncRead for GatedIo {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        ready!(self.poll_gates(cx));
        Pin::new(&mut self.stream).poll_read(cx, buf)
    }
}

impl AsyncWrite for GatedIo {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        ready!(self.poll_gates(cx));
        Pin::new(&mut self.stream).poll_write(cx, buf)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        ready!(self.poll_gates(cx));
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        ready!(self.poll_gates(cx));
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
