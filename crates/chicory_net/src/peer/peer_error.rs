//! Failures between the cluster's processes.

use std::net::SocketAddr;
use std::time::Duration;

use quinn::ConnectionError;
use snafu::Snafu;

use crate::NetMetric;
use crate::peer::FrameError;

/// Where QUIC keeps the alerts of TLS among its error codes.
const CRYPTO_ERROR_BASE: u64 = 0x100;
/// The alert of TLS for an expired certificate.
const ALERT_CERTIFICATE_EXPIRED: u64 = 45;
/// Alerts with which TLS refuses a certificate that isn't of the cluster, or the lack of one.
const ALERTS_FOREIGN: [u64; 6] = [42, 43, 46, 48, 51, 116];

/// A failure between two processes of the cluster.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum PeerError {
    /// The text is no address.
    #[snafu(display("{text:?} is no address of the form IP:PORT"))]
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
    #[snafu(display("certificate expired"))]
    CertificateExpired,
    /// A certificate on one of the two ends isn't of the cluster's authority.
    #[snafu(display("certificate of a foreign authority"))]
    CertificateForeign,
    /// The peer's stated identity isn't the one of its certificate, or is of another cluster.
    #[snafu(display("the peer isn't who it states to be"))]
    IdentityMismatch,
    /// The connection is lost.
    #[snafu(display("connection lost: {source}"))]
    Lost {
        /// The cause.
        source: ConnectionError,
    },
    /// The last attempt to connect failed just now.
    #[snafu(display("the last attempt to connect to {address} failed just now"))]
    BackingOff {
        /// The address.
        address: SocketAddr,
    },
    /// No answer in time.
    #[snafu(display("no answer within {} ms", timeout.as_millis()))]
    TimedOut {
        /// How long was waited.
        timeout: Duration,
    },
    /// A frame could not be read or written.
    #[snafu(display("{source}"), context(false))]
    Frame {
        /// The cause.
        source: FrameError,
    },
    /// The stream is of an unknown or unexpected kind.
    #[snafu(display("stream of an unexpected kind"))]
    UnexpectedStream,
}

impl PeerError {
    /// Sorts a failure of the handshake or connection.
    pub(crate) fn from_connection(error: ConnectionError) -> Self {
        match tls_alert(&error) {
            Some(ALERT_CERTIFICATE_EXPIRED) => Self::CertificateExpired,
            Some(alert) if ALERTS_FOREIGN.contains(&alert) => Self::CertificateForeign,
            _ => Self::Lost { source: error },
        }
    }

    /// The counter of this failure.
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

fn tls_alert(error: &ConnectionError) -> Option<u64> {
    let code = match error {
        ConnectionError::TransportError(error) => error.code,
        ConnectionError::ConnectionClosed(close) => close.error_code,
        _ => return None,
    };
    u64::from(code).checked_sub(CRYPTO_ERROR_BASE)
}
