//! What the network code counts.

use chicory_telemetry::MetricName;

/// What the network code counts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NetMetric {
    /// Peer connections opened or accepted.
    PeerConnections,
    /// Peer connections that could not be opened.
    PeerConnectFailures,
    /// Peers refused for an expired certificate.
    ExpiredCertificates,
    /// Peers refused for a certificate of another authority, or for none.
    ForeignCertificates,
    /// Peers whose stated identity isn't the one of their certificate.
    IdentityMismatches,
    /// Frames that don't start with the magic number.
    WrongMagicFrames,
    /// Frames of another protocol version.
    WrongVersionFrames,
    /// Frames longer than allowed.
    OversizedFrames,
    /// Frames that hold no readable message.
    MalformedFrames,
    /// Messages dropped from a full queue.
    DroppedMessages,
    /// Request heads that were malformed.
    MalformedHeads,
    /// Request heads that were longer than allowed.
    OversizedHeads,
    /// Connections of callers refused at the limit.
    RefusedCallers,
}

impl MetricName for NetMetric {
    fn name(self) -> &'static str {
        match self {
            Self::PeerConnections => "peer_connections",
            Self::PeerConnectFailures => "peer_connect_failures",
            Self::ExpiredCertificates => "expired_certificates",
            Self::ForeignCertificates => "foreign_certificates",
            Self::IdentityMismatches => "identity_mismatches",
            Self::WrongMagicFrames => "wrong_magic_frames",
            Self::WrongVersionFrames => "wrong_version_frames",
            Self::OversizedFrames => "oversized_frames",
            Self::MalformedFrames => "malformed_frames",
            Self::DroppedMessages => "dropped_messages",
            Self::MalformedHeads => "malformed_heads",
            Self::OversizedHeads => "oversized_heads",
            Self::RefusedCallers => "refused_callers",
        }
    }

    fn help(self) -> &'static str {
        match self {
            Self::PeerConnections => "Peer connections opened or accepted.",
            Self::PeerConnectFailures => "Peer connections that could not be opened.",
            Self::ExpiredCertificates => "Peers refused for an expired certificate.",
            Self::ForeignCertificates => "Peers refused for a certificate of another authority.",
            Self::IdentityMismatches => "Peers whose identity isn't that of their certificate.",
            Self::WrongMagicFrames => "Frames without the magic number.",
            Self::WrongVersionFrames => "Frames of another protocol version.",
            Self::OversizedFrames => "Frames longer than allowed.",
            Self::MalformedFrames => "Frames that hold no readable message.",
            Self::DroppedMessages => "Messages dropped from a full queue.",
            Self::MalformedHeads => "Malformed request heads.",
            Self::OversizedHeads => "Request heads longer than allowed.",
            Self::RefusedCallers => "Connections of callers refused at the limit.",
        }
    }
}
