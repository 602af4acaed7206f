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

/// One connection to a backend server, for one request at a time; dropped, it is closed at once,
/// which tells the server to cancel what runs on it.
#[derive(Debug)]
pub struct ServerLink {
    sender: SendRequest<HttpBody>,
    driver: AbortHandle,
}

impl ServerLink {
    /// Opens a connection; `on_close` is called once it is closed, from whichever side.
    ///
    /// # Errors
    ///
    /// Fails where the server can't be reached in time.
    pub async fn open(
        address: &str,
        timeout: Duration,
        on_close: impl FnOnce() + Send + 'static,
    ) -> Result<Self, LinkError> {
        let stream = match tokio::time::timeout(timeout, TcpStream::connect(address)).await {
            Err(_) => return Err(LinkError::TimedOut),
            Ok(Err(error)) => return Err(sorted(error)),
            Ok(Ok(stream)) => stream,
        };
        Self::from_stream(stream, on_close).await
    }

    /// Takes over a connection that is open already; `on_close` is called once it is closed.
    ///
    /// # Errors
    ///
    /// Fails where the connection breaks at once.
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
        let driver = tokio::spawn(async move {
            let _guard = guard;
            let _ = connection.await;
        });
        Ok(Self {
            sender,
            driver: driver.abort_handle(),
        })
    }

    /// Sends a request: it is handed over in this call, the future only waits for the answer.
    ///
    /// # Errors
    ///
    /// The future fails where no answer head comes, and tells whether bytes may have left.
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

    /// Whether the connection would take a request at this moment.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        self.sender.is_ready()
    }

    /// Waits until the connection takes another request; `false` where it never will.
    pub async fn ready(&mut self) -> bool {
        self.sender.ready().await.is_ok()
    }
}

impl Drop for ServerLink {
    fn drop(&mut self) {
        self.driver.abort();
    }
}

/// Tells of the end of a connection, also where its task is aborted.
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

fn sorted(error: std::io::Error) -> LinkError {
    match error.kind() {
        ErrorKind::ConnectionRefused => LinkError::Refused,
        ErrorKind::TimedOut => LinkError::TimedOut,
        _ => LinkError::Network { source: error },
    }
}
