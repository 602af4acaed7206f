//! A client's connection whose received bytes are counted.

use std::io;
use std::pin::Pin;
use std::task::{Context, Poll, ready};
use std::time::Duration;

use socket2::SockRef;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

use crate::http::connection_share::ConnectionShare;

/// A client's connection whose received bytes are counted. It fails if there is no room for more.
#[derive(Debug)]
pub(crate) struct ClientStream {
    stream: TcpStream,
    share: ConnectionShare,
}

impl ClientStream {
    pub(crate) fn new(stream: TcpStream, share: ConnectionShare) -> Self {
        Self { stream, share }
    }
}

impl AsyncRead for ClientStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        ready!(self.share.poll_room(cx));
        let filled_before = buffer.filled().len();
        ready!(Pin::new(&mut self.stream).poll_read(cx, buffer))?;
        let received = buffer.filled().len() - filled_before;
        Poll::Ready(if received == 0 || self.share.record_read(received) {
            Ok(())
        } else {
            Err(io::ErrorKind::OutOfMemory.into())
        })
    }
}

impl AsyncWrite for ClientStream {
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

impl Drop for ClientStream {
    fn drop(&mut self) {
        if self.share.is_aborted() {
            // A reset keeps an answer that ends with its connection from looking complete, and frees
            // what the kernel still has to send.
            let _ = SockRef::from(&self.stream).set_linger(Some(Duration::ZERO));
        }
    }
}
