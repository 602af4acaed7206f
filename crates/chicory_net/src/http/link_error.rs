//! Errors of connections to backend servers.

use snafu::Snafu;

/// The reason why a connection to a backend server could not be opened.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum LinkError {
    /// The server's host refused the connection.
    #[snafu(display("connection refused"))]
    Refused,
    /// The connection wasn't established in time.
    #[snafu(display("connect timed out"))]
    TimedOut,
    /// Any other network error.
    #[snafu(display("cannot connect: {source}"))]
    Network {
        /// The cause.
        source: std::io::Error,
    },
    /// The HTTP handshake failed.
    #[snafu(display("cannot start HTTP: {source}"))]
    Handshake {
        /// The cause.
        source: hyper::Error,
    },
}

/// The reason why no answer head was received for a request.
#[derive(Debug, Snafu)]
pub enum SendError {
    /// The connection was closed before any byte of the request was sent.
    #[snafu(display("the connection was closed before the request was sent"))]
    NothingSent,
    /// The connection was lost after bytes of the request may have been sent.
    #[snafu(display("the connection was lost before the answer"))]
    Broken,
    /// The received data isn't a valid HTTP answer.
    #[snafu(display("malformed HTTP answer"))]
    Malformed,
}
