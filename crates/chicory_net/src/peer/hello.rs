//! The first message on a connection.

use prost::Message;
use quinn::Connection;
use rustls::client::verify_server_name;
use rustls::pki_types::{CertificateDer, ServerName};
use rustls::server::ParsedCertificate;
use snafu::{OptionExt, ensure};

use crate::peer::peer_error::IdentityMismatchSnafu;
use crate::peer::{PeerError, PeerIdentity};
use crate::tls::Subject;

/// The identity of the process that opened the connection; checked against its certificate.
#[derive(Clone, PartialEq, Eq, Message)]
pub(crate) struct Hello {
    #[prost(string, tag = "1")]
    cluster: String,
    #[prost(string, tag = "2")]
    role: String,
    #[prost(string, tag = "3")]
    name: String,
    #[prost(string, tag = "4")]
    zone: String,
}

impl Hello {
    pub(crate) fn new(identity: &PeerIdentity) -> Self {
        Self {
            cluster: identity.cluster.clone(),
            role: identity.subject.role.to_string(),
            name: identity.subject.name.clone(),
            zone: identity.zone.clone(),
        }
    }

    /// Checks the stated identity against the peer's certificate and the local cluster's name.
    pub(crate) fn verify(
        self,
        connection: &Connection,
        cluster: &str,
    ) -> Result<PeerIdentity, PeerError> {
        let role = self.role.parse().ok().context(IdentityMismatchSnafu)?;
        let subject = Subject::new(role, self.name);
        ensure!(self.cluster == cluster, IdentityMismatchSnafu);
        ensure!(is_certified(connection, &subject), IdentityMismatchSnafu);
        Ok(PeerIdentity {
            subject,
            cluster: self.cluster,
            zone: self.zone,
        })
    }
}

/// Returns whether the peer's certificate was issued for the subject.
fn is_certified(connection: &Connection, subject: &Subject) -> bool {
    let Some(identity) = connection.peer_identity() else {
        return false;
    };
    let Ok(chain) = identity.downcast::<Vec<CertificateDer<'static>>>() else {
        return false;
    };
    let Some(certificate) = chain.first() else {
        return false;
    };
    let Ok(certificate) = ParsedCertificate::try_from(certificate) else {
        return false;
    };
    ServerName::try_from(subject.dns_name())
        .is_ok_and(|name| verify_server_name(&certificate, &name).is_ok())
}
