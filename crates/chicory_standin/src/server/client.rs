//! One HTTP request over a connection of its own.

use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::client::conn::http1;
use hyper::{Request, StatusCode};
use hyper_util::rt::TokioIo;
use snafu::{ResultExt, Snafu};
use tokio::net::TcpStream;

/// Why a request over a connection of its own failed.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum ClientError {
    /// The connection can't be opened.
    #[snafu(display("can't connect to {address}: {source}"))]
    Connect {
        /// The other end.
        address: String,
        /// The system's error.
        source: std::io::Error,
    },
    /// The exchange failed.
    #[snafu(display("exchange with {address} failed: {source}"))]
    Exchange {
        /// The other end.
        address: String,
        /// The library's error.
        source: hyper::Error,
    },
    /// The request can't be formed.
    #[snafu(display("malformed request to {address}: {source}"))]
    Malformed {
        /// The other end.
        address: String,
        /// The library's error.
        source: hyper::http::Error,
    },
    /// No answer arrived in time.
    #[snafu(display("no answer from {address} within {} ms", timeout.as_millis()))]
    TimedOut {
        /// The other end.
        address: String,
        /// The time limit.
        timeout: Duration,
    },
}

/// Status and body of an answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HttpAnswer {
    /// HTTP status.
    pub status: StatusCode,
    /// The complete body.
    pub body: Bytes,
}

/// Sends one request over a connection of its own: a `POST` if there is a body, a `GET` otherwise.
///
/// # Errors
///
/// [`ClientError`] if no complete answer arrives within `timeout`.
pub async fn send_once(
    address: &str,
    path: &str,
    body: Option<Bytes>,
    timeout: Duration,
) -> Result<HttpAnswer, ClientError> {
    let exchange = exchange(address, path, body);
    let answer = tokio::time::timeout(timeout, exchange).await;
    answer.unwrap_or_else(|_| TimedOutSnafu { address, timeout }.fail())
}

async fn exchange(
    address: &str,
    path: &str,
    body: Option<Bytes>,
) -> Result<HttpAnswer, ClientError> {
    let stream = TcpStream::connect(address);
    let stream = stream.await.context(ConnectSnafu { address })?;
    let handshake = http1::handshake(TokioIo::new(stream)).await;
    let (mut sender, connection) = handshake.context(ExchangeSnafu { address })?;
    let request = Request::builder()
        .method(if body.is_some() { "POST" } else { "GET" })
        .uri(path)
        .header("host", address)
        .header("content-type", "application/json")
        .body(Full::new(body.unwrap_or_default()))
        .context(MalformedSnafu { address })?;
    let exchange = async {
        let response = sender.send_request(request).await?;
        let status = response.status();
        let body = response.into_body().collect().await?.to_bytes();
        Ok(HttpAnswer { status, body })
    };
    tokio::pin!(connection);
    tokio::pin!(exchange);
    let answer = tokio::select! {
        answer = &mut exchange => answer,
        _ = &mut connection => exchange.await,
    };
    answer.context(ExchangeSnafu { address })
}
