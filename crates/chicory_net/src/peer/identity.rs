//! The identity of a peer.

use chicory_types::{ClusterName, ZoneName};

use crate::tls::Subject;

/// The identity of the process or operator at the other end of a connection.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PeerIdentity {
    /// Role and name, as verified against the certificate.
    pub subject: Subject,
    /// Name of the cluster; connections from another cluster are rejected.
    pub cluster: ClusterName,
    /// Availability zone as stated by the peer; empty for operators.
    pub zone: ZoneName,
}
