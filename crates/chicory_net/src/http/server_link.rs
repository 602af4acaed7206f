//! One connection to a backend server.

use std::io::ErrorKind;
use std::time::Duration;

use hyper::body::Incoming;
use hyper::client::conn::http1::{self, SendRequest};
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use snafu::ResultExt;
use tokio::net::TcpStream;
use tokio::task::AbortHandle;

use crate::http::HttpBody;
use crate::http::link_error::{HandshakeSnafu, LinkError, SendError};

/// One connection to a backend server, for one request at a time.
///
/// Dropping it closes the connection at once, which signals the server to cancel the request that
/// is in progress on it.
#[derive(Debug)]
pub struct ServerLink {
    sender: SendRequest<HttpBody>,
    connection_task: AbortHandle,
}

impl ServerLink {
    /// Opens a connection; `on_close` is called as soon as either side has closed it.
    ///
    /// # Errors
    ///
    /// Returns an error if the server can't be reached within the timeout.
    pub async fn open(
        address: &str,
        timeout: Duration,
        on_close: impl FnOnce() + Send + 'static,
    ) -> Result<Self, LinkError> {
        let stream = match tokio::time::timeout(timeout, TcpStream::connect(address)).await {
            Err(_) => return Err(LinkError::TimedOut),
            Ok(Err(error)) => return Err(connect_error(error)),
            Ok(Ok(stream)) => stream,
        };
        Self::from_stream(stream, on_close).await
    }

    /// Creates a link from an open connection; `on_close` is called as soon as it is closed.
    ///
    /// # Errors
    ///
    /// Returns an error if the HTTP handshake fails.
    pub async fn from_stream(
        stream: TcpStream,
        on_close: impl FnOnce() + Send + 'static,
    ) -> Result<Self, LinkError> {
        let _ = stream.set_nodelay(true);
        let (sender, connection) = http1::Builder::new()
            .handshake(TokioIo::new(stream))
            .await
            .context(HandshakeSnafu)?;
        let guard = CloseGuard {
            on_close: Some(on_close),
        };
        let connection_task = tokio::spawn(async move {
            let _guard = guard;
            let _ = connection.await;
        });
        Ok(Self {
            sender,
            connection_task: connection_task.abort_handle(),
        })
    }

    /// Sends a request and returns a future that waits for the answer.
    ///
    /// The request is passed to the connection within this call, before the future is polled.
    ///
    /// # Errors
    ///
    /// The future returns an error if no answer head is received; the error states whether bytes
    /// of the request may have been sent.
    pub fn send(
        &mut self,
        request: Request<HttpBody>,
    ) -> impl Future<Output = Result<Response<Incoming>, SendError>> + Send + use<> {
        let sent = self.sender.try_send_request(request);
        async move {
            sent.await.map_err(|mut error| {
                if error.take_message().is_some() {
                    SendError::NothingSent
                } else if error.error().is_parse() {
                    SendError::Malformed
                } else {
                    SendError::Broken
                }
            })
        }
    }

    /// Returns whether the connection can accept a request now.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        self.sender.is_ready()
    }

    /// Waits until the connection can accept a request; returns `false` if it is closed.
    pub async fn ready(&mut self) -> bool {
        self.sender.ready().await.is_ok()
    }
}

impl Drop for ServerLink {
    fn drop(&mut self) {
        self.connection_task.abort();
    }
}

/// Calls `on_close` at the end of a connection, also if its task is aborted.
struct CloseGuard<F: FnOnce()> {
    on_close: Option<F>,
}

impl<F: FnOnce()> Drop for CloseGuard<F> {
    fn drop(&mut self) {
        if let Some(on_close) = self.on_close.take() {
            on_close();
        }
    }
}

/// Converts an I/O error of a connection attempt.
fn connect_error(error: std::io::Error) -> LinkError {
    match error.kind() {
        ErrorKind::ConnectionRefused => LinkError::Refused,
        ErrorKind::TimedOut => LinkError::TimedOut,
        _ => LinkError::Network { source: error },
    }
}
