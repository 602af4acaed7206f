//! Errors of connections between the cluster's processes.

use std::net::SocketAddr;
use std::time::Duration;

use quinn::ConnectionError;
use snafu::Snafu;

use crate::NetMetric;
use crate::peer::FrameError;

/// First of the QUIC error codes that carry a TLS alert.
const CRYPTO_ERROR_BASE: u64 = 0x100;
/// The TLS alert for an expired certificate.
const ALERT_CERTIFICATE_EXPIRED: u64 = 45;
/// The TLS alerts for a missing certificate or one that isn't of the cluster's authority.
const ALERTS_FOREIGN: [u64; 6] = [42, 43, 46, 48, 51, 116];

/// A failure of the communication between two processes of the cluster.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum PeerError {
    /// The text isn't an address.
    #[snafu(display("{text:?} isn't an address of the form IP:PORT"))]
    BadAddress {
        /// The text.
        text: String,
    },
    /// The UDP port could not be bound.
    #[snafu(display("cannot bind {address}: {source}"))]
    Bind {
        /// The address.
        address: SocketAddr,
        /// The cause.
        source: std::io::Error,
    },
    /// A connection could not be started.
    #[snafu(display("cannot connect to {address}: {source}"))]
    Connect {
        /// The address.
        address: SocketAddr,
        /// The cause.
        source: quinn::ConnectError,
    },
    /// A certificate on one of the two ends has expired or isn't valid yet.
    #[snafu(display("certificate expired or not yet valid"))]
    CertificateExpired,
    /// A certificate on one of the two ends is missing or isn't of the cluster's authority.
    #[snafu(display("certificate missing or of another authority"))]
    CertificateForeign,
    /// The peer's stated identity doesn't match its certificate, or it is of another cluster.
    #[snafu(display("the peer's stated identity doesn't match its certificate or the cluster"))]
    IdentityMismatch,
    /// The connection is lost.
    #[snafu(display("connection lost: {source}"))]
    Lost {
        /// The cause.
        source: ConnectionError,
    },
    /// The last attempt to connect failed a short time ago, so no new one was made.
    #[snafu(display("not connecting to {address}: the last attempt failed a short time ago"))]
    BackingOff {
        /// The address.
        address: SocketAddr,
    },
    /// The operation wasn't complete within its timeout.
    #[snafu(display("timed out after {} ms", timeout.as_millis()))]
    TimedOut {
        /// The timeout.
        timeout: Duration,
    },
    /// A frame could not be read or written.
    #[snafu(display("{source}"), context(false))]
    Frame {
        /// The cause.
        source: FrameError,
    },
    /// A stream has an unknown or unexpected kind.
    #[snafu(display("stream of an unexpected kind"))]
    UnexpectedStream,
}

impl PeerError {
    /// Converts an error of the handshake or connection.
    pub(crate) fn from_connection(error: ConnectionError) -> Self {
        match tls_alert(&error) {
            Some(ALERT_CERTIFICATE_EXPIRED) => Self::CertificateExpired,
            Some(alert) if ALERTS_FOREIGN.contains(&alert) => Self::CertificateForeign,
            _ => Self::Lost { source: error },
        }
    }

    /// Returns the counter of this error, if there is one.
    pub(crate) fn metric(&self) -> Option<NetMetric> {
        match self {
            Self::CertificateExpired => Some(NetMetric::ExpiredCertificates),
            Self::CertificateForeign => Some(NetMetric::ForeignCertificates),
            Self::IdentityMismatch => Some(NetMetric::IdentityMismatches),
            Self::Frame { source } => source.metric(),
            _ => None,
        }
    }
}

/// Returns the TLS alert that closed the connection, if there was one.
fn tls_alert(error: &ConnectionError) -> Option<u64> {
    let code = match error {
        ConnectionError::TransportError(error) => error.code,
        ConnectionError::ConnectionClosed(close) => close.error_code,
        _ => return None,
    };
    u64::from(code).checked_sub(CRYPTO_ERROR_BASE)
}
