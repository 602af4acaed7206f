//! One connection to another process.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use chicory_telemetry::Metrics;
use prost::Message;
use quinn::{RecvStream, SendStream, VarInt};
use snafu::ResultExt;

use crate::peer::endpoint::with_timeout;
use crate::peer::frame_error::{BrokenSnafu, WriteSnafu};
use crate::peer::hello::Hello;
use crate::peer::{Frame, PeerError, PeerStream, RelayStream, StreamKind};

/// One connection to another process; clones are handles to the same connection.
#[derive(Clone, Debug)]
pub struct PeerConnection {
    connection: quinn::Connection,
    metrics: Arc<Metrics>,
}

impl PeerConnection {
    pub(crate) fn new(connection: quinn::Connection, metrics: Arc<Metrics>) -> Self {
        Self {
            connection,
            metrics,
        }
    }

    /// Returns whether the connection is open; the loss of the peer is detected with a delay.
    #[must_use]
    pub fn is_open(&self) -> bool {
        self.connection.close_reason().is_none()
    }

    /// Returns the address of the other end.
    #[must_use]
    pub fn remote_address(&self) -> SocketAddr {
        self.connection.remote_address()
    }

    /// Sends a request and waits for its reply.
    ///
    /// # Errors
    ///
    /// Returns an error if no valid reply is received within the timeout. The request may have been
    /// carried out nevertheless.
    pub async fn call<Q, R>(&self, request: &Q, timeout: Duration) -> Result<R, PeerError>
    where
        Q: Message,
        R: Message + Default,
    {
        let reply = with_timeout(timeout, async {
            let (mut writer, mut reader) = self.open_bi(StreamKind::Call).await?;
            Frame::write(&mut writer, request).await?;
            let _ = writer.finish();
            Ok(Frame::read(&mut reader).await?)
        });
        let reply = reply.await.and_then(|reply| reply);
        self.count_error(reply)
    }

    /// Opens a stream to relay a request.
    ///
    /// # Errors
    ///
    /// Returns an error if the connection is lost; no part of the request has been sent then.
    pub async fn open_relay(&self) -> Result<RelayStream, PeerError> {
        let opened = self.connection.open_bi().await;
        let (writer, reader) = opened.map_err(PeerError::from_connection)?;
        Ok(RelayStream::open(writer, reader))
    }

    /// Waits for a stream that the other end opens.
    ///
    /// Streams whose kind can't be read or isn't expected are ignored.
    ///
    /// # Errors
    ///
    /// Returns an error if the connection is lost.
    pub async fn accept(&self) -> Result<PeerStream, PeerError> {
        loop {
            let stream = tokio::select! {
                stream = self.connection.accept_bi() => stream.map(|(w, r)| (Some(w), r)),
                stream = self.connection.accept_uni() => stream.map(|r| (None, r)),
            };
            let (writer, mut reader) = stream.map_err(PeerError::from_connection)?;
            let opened = match read_kind(&mut reader).await {
                Ok(kind) => PeerStream::new(kind, writer, reader, self.metrics.clone()),
                Err(error) => Err(error),
            };
            if let Ok(stream) = self.count_error(opened) {
                return Ok(stream);
            }
        }
    }

    pub(crate) fn quic(&self) -> &quinn::Connection {
        &self.connection
    }

    pub(crate) fn close(&self, reason: &[u8]) {
        self.connection.close(VarInt::from_u32(1), reason);
    }

    pub(crate) async fn read_hello(&self) -> Result<Hello, PeerError> {
        let mut stream = self
            .connection
            .accept_uni()
            .await
            .map_err(PeerError::from_connection)?;
        match read_kind(&mut stream).await? {
            StreamKind::Hello => Ok(Frame::read(&mut stream).await?),
            _ => Err(PeerError::UnexpectedStream),
        }
    }

    pub(crate) async fn open_uni(&self, kind: StreamKind) -> Result<SendStream, PeerError> {
        let mut stream = self
            .connection
            .open_uni()
            .await
            .map_err(PeerError::from_connection)?;
        write_kind(&mut stream, kind).await?;
        Ok(stream)
    }

    async fn open_bi(&self, kind: StreamKind) -> Result<(SendStream, RecvStream), PeerError> {
        let (mut writer, reader) = self
            .connection
            .open_bi()
            .await
            .map_err(PeerError::from_connection)?;
        write_kind(&mut writer, kind).await?;
        Ok((writer, reader))
    }

    /// Increments the counter of the error, if there is one, and returns the result unchanged.
    fn count_error<T>(&self, result: Result<T, PeerError>) -> Result<T, PeerError> {
        if let Some(metric) = result.as_ref().err().and_then(PeerError::metric) {
            self.metrics.increment(metric);
        }
        result
    }
}

async fn write_kind(stream: &mut SendStream, kind: StreamKind) -> Result<(), PeerError> {
    let written = stream.write_all(&[kind.to_byte()]).await;
    Ok(written.context(WriteSnafu)?)
}

async fn read_kind(stream: &mut RecvStream) -> Result<StreamKind, PeerError> {
    let mut kind = [0];
    stream.read_exact(&mut kind).await.context(BrokenSnafu)?;
    StreamKind::from_byte(kind[0]).ok_or(PeerError::UnexpectedStream)
}
