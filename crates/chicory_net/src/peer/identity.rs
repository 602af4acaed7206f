//! Who is at the other end of a connection.

use chicory_types::{ClusterName, ZoneName};

use crate::tls::Subject;

/// Who is at the other end of a connection.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PeerIdentity {
    /// Role and name, checked against the certificate.
    pub subject: Subject,
    /// Cluster; the other end refuses another one.
    pub cluster: ClusterName,
    /// Availability zone, as the peer states it; empty for operators.
    pub zone: ZoneName,
}
