//! Metrics of the network code.

use chicory_telemetry::MetricName;

/// A counter of the network code.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NetMetric {
    /// Peer connections opened or accepted.
    PeerConnections,
    /// Peer connections that could not be opened.
    PeerConnectFailures,
    /// Peers rejected because of an expired certificate.
    ExpiredCertificates,
    /// Peers rejected because their certificate is missing or of another authority.
    ForeignCertificates,
    /// Peers whose stated identity doesn't match their certificate.
    IdentityMismatches,
    /// Frames that don't start with the magic number.
    WrongMagicFrames,
    /// Frames of another protocol version.
    WrongVersionFrames,
    /// Frames longer than allowed.
    OversizedFrames,
    /// Frames whose message can't be decoded.
    MalformedFrames,
    /// Messages dropped because a queue was full.
    DroppedMessages,
    /// Malformed request heads.
    MalformedHeads,
    /// Request heads longer than allowed.
    OversizedHeads,
    /// Connections of callers rejected because the connection limit was reached.
    RefusedCallers,
    /// Requests whose incomplete bodies made room for others in memory.
    EvictedBodies,
    /// Connections of clients closed to make room for others.
    EvictedConnections,
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
            Self::EvictedBodies => "evicted_bodies",
            Self::EvictedConnections => "evicted_connections",
        }
    }

    fn help(self) -> &'static str {
        match self {
            Self::PeerConnections => "Peer connections opened or accepted.",
            Self::PeerConnectFailures => "Peer connections that could not be opened.",
            Self::ExpiredCertificates => "Peers rejected because of an expired certificate.",
            Self::ForeignCertificates => "Peers rejected for a missing or foreign certificate.",
            Self::IdentityMismatches => "Peers whose identity doesn't match their certificate.",
            Self::WrongMagicFrames => "Frames without the magic number.",
            Self::WrongVersionFrames => "Frames of another protocol version.",
            Self::OversizedFrames => "Frames longer than allowed.",
            Self::MalformedFrames => "Frames whose message can't be decoded.",
            Self::DroppedMessages => "Messages dropped because a queue was full.",
            Self::MalformedHeads => "Malformed request heads.",
            Self::OversizedHeads => "Request heads longer than allowed.",
            Self::RefusedCallers => "Connections of callers rejected at the limit.",
            Self::EvictedBodies => "Incomplete bodies refused to make room in memory.",
            Self::EvictedConnections => "Connections closed to make room for others.",
        }
    }
}
