//! One connection to a backend server.

use std::io::ErrorKind;
use std::ops::Range;
use std::pin::pin;
use std::time::Duration;

use hyper::body::Incoming;
use hyper::client::conn::http1::{self, SendRequest};
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use snafu::ResultExt;
use tokio::net::TcpStream;
use tokio::sync::{mpsc, oneshot};
use tokio::task::AbortHandle;
use tokio::time::Instant;

use crate::http::HttpBody;
use crate::http::link_error::{HandshakeSnafu, LinkError, SendError};
use crate::http::metered_stream::{ByteAllowance, MeteredStream, SentBytes};
use crate::http::refused_requests::RefusedRequests;

/// Most bytes of an answer before its body begins, including interim answers.
const MAX_HEAD_BYTES: u64 = 128 * 1024;
/// Most bytes of an answer that are received before they are parsed. It bounds the memory of a head
/// that never ends.
const MAX_BUFFERED_BYTES: usize = 64 * 1024;
/// Most bytes of an answer's body, including what encodes it.
const MAX_BODY_BYTES: u64 = 256 * 1024 * 1024;

/// Statuses that end an exchange, see RFC 9110, section 15. Requests ask for no other protocol, so 101
/// is none of them.
const FINAL_STATUSES: Range<u16> = 200..600;

/// A time at which a connection is closed, and the signal that is sent then.
struct Expiry {
    at: Instant,
    signal: oneshot::Sender<()>,
}

/// One connection to a backend server, for one request at a time.
///
/// It is closed if an answer is longer than any answer should be, wherever the bytes are, and if the
/// server's kernel acknowledges nothing for two to three seconds. A server whose kernel does may take
/// any time.
///
/// Dropping it closes the connection at once, which signals the server to cancel the request that
/// is in progress on it.
#[derive(Debug)]
pub struct ServerLink {
    sender: SendRequest<HttpBody>,
    connection_task: AbortHandle,
    allowance: ByteAllowance,
    sent: SentBytes,
    max_body_bytes: u64,
    refused: RefusedRequests,
    expiries: mpsc::UnboundedSender<Option<Expiry>>,
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
        let allowance = ByteAllowance::new(MAX_HEAD_BYTES);
        let sent = SentBytes::default();
        let stream = MeteredStream::new(stream, allowance.clone(), sent.clone());
        let (sender, connection) = http1::Builder::new()
            .max_buf_size(MAX_BUFFERED_BYTES)
            .handshake(TokioIo::new(stream))
            .await
            .context(HandshakeSnafu)?;
        let guard = CloseGuard {
            on_close: Some(on_close),
        };
        let (expiries, changed_expiries) = mpsc::unbounded_channel();
        let connection_task = tokio::spawn(async move {
            let _guard = guard;
            run_until_expiry(connection, changed_expiries).await;
        });
        Ok(Self {
            sender,
            connection_task: connection_task.abort_handle(),
            allowance,
            sent,
            max_body_bytes: MAX_BODY_BYTES,
            refused: RefusedRequests::default(),
            expiries,
        })
    }

    /// Sets the most bytes that the body of an answer may have.
    #[must_use]
    pub fn with_max_body_bytes(mut self, max_body_bytes: u64) -> Self {
        self.max_body_bytes = max_body_bytes;
        self
    }

    /// Closes the connection at `at` unless the expiry is cleared before. Returns a receiver of the
    /// signal that is sent then.
    ///
    /// The signal has to abort the body that the connection delivers: a body whose end is that of
    /// its connection would look complete otherwise.
    #[must_use]
    pub fn set_expiry(&self, at: Instant) -> oneshot::Receiver<()> {
        let (signal, receiver) = oneshot::channel();
        // If the connection is closed already, there is nothing left to close.
        let _ = self.expiries.send(Some(Expiry { at, signal }));
        receiver
    }

    /// Keeps the connection open without a time limit again.
    pub fn clear_expiry(&self) {
        let _ = self.expiries.send(None);
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
        self.allowance.set(MAX_HEAD_BYTES);
        self.sent.reset();
        let sent = self.sender.try_send_request(request);
        let (allowance, max_body_bytes) = (self.allowance.clone(), self.max_body_bytes);
        async move {
            let response = sent.await;
            allowance.set(max_body_bytes);
            let response = response.map_err(|mut error| {
                if error.take_message().is_some() {
                    SendError::NothingSent
                } else if error.error().is_parse() {
                    SendError::Malformed
                } else {
                    SendError::Broken
                }
            })?;
            if FINAL_STATUSES.contains(&response.status().as_u16()) {
                Ok(response)
            } else {
                Err(SendError::Malformed)
            }
        }
    }

    /// Returns whether the connection can accept a request now.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        self.sender.is_ready()
    }

    /// Records that the server refused the request with this id on this connection.
    pub fn record_refusal(&mut self, request: Option<&str>) {
        self.refused.insert(request);
    }

    /// Returns whether the request with this id may be sent on this connection. It may not if the
    /// server refused it here before: a late copy of that refusal would pass for its answer.
    #[must_use]
    pub fn may_carry(&self, request: Option<&str>) -> bool {
        !self.is_worn_out() && !self.refused.contains(request)
    }

    /// Returns whether too many requests were refused on this connection to remember any more. It
    /// carries no more requests then.
    #[must_use]
    pub fn is_worn_out(&self) -> bool {
        self.refused.is_full()
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

/// Runs a connection until it ends or expires.
async fn run_until_expiry(
    connection: impl Future,
    mut changed_expiries: mpsc::UnboundedReceiver<Option<Expiry>>,
) {
    let mut connection = pin!(connection);
    let mut expiry: Option<Expiry> = None;
    loop {
        let expires_at = expiry.as_ref().map(|expiry| expiry.at);
        let expired = async {
            match expires_at {
                Some(at) => tokio::time::sleep_until(at).await,
                None => std::future::pending().await,
            }
        };
        tokio::select! {
            _ = connection.as_mut() => return,
            Some(changed) = changed_expiries.recv() => expiry = changed,
            () = expired => {
                if let Some(expiry) = expiry {
                    // The body may have been dropped already.
                    let _ = expiry.signal.send(());
                }
                return;
            }
        }
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
