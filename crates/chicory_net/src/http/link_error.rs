//! Failures of connections to backend servers.

use snafu::Snafu;

/// A connection to a backend server could not be opened.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum LinkError {
    /// The server's host refused it.
    #[snafu(display("connection refused"))]
    Refused,
    /// No answer in time.
    #[snafu(display("no answer to the attempt to connect"))]
    TimedOut,
    /// Any other failure of the network.
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

/// A request got no answer head.
#[derive(Debug, Snafu)]
pub enum SendError {
    /// The connection was gone before any byte of the request left.
    #[snafu(display("nothing of the request was sent"))]
    NothingSent,
    /// The connection broke after bytes of the request may have left.
    #[snafu(display("the connection broke before the answer"))]
    Broken,
    /// What came back is no HTTP answer.
    #[snafu(display("malformed answer"))]
    Malformed,
}
