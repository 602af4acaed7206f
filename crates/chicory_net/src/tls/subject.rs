//! The subject of a certificate.

use crate::tls::PeerRole;

/// Domain of the DNS names of processes and operators in certificates.
const CERTIFICATE_DOMAIN: &str = "chicory";
/// DNS name in every process's certificate besides its own.
///
/// Clients verify this name, so that they accept any process at the address they connect to.
pub(crate) const ANY_PROCESS_NAME: &str = "process.chicory";

/// The subject of a certificate: its holder's role and name.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Subject {
    /// What the holder may do.
    pub role: PeerRole,
    /// Name of the VM or of the operator: letters, digits and hyphens.
    pub name: String,
}

impl Subject {
    /// Creates a subject.
    #[must_use]
    pub fn new(role: PeerRole, name: impl Into<String>) -> Self {
        Self {
            role,
            name: name.into(),
        }
    }

    /// Returns the DNS name that identifies the subject in its certificate.
    #[must_use]
    pub fn dns_name(&self) -> String {
        format!("{}.{}.{CERTIFICATE_DOMAIN}", self.name, self.role)
    }

    /// Returns all DNS names of the subject's certificate.
    ///
    /// Operators don't get the name that all processes share, so that they can't act as a server.
    pub(crate) fn certificate_names(&self) -> Vec<String> {
        match self.role {
            PeerRole::Operator => vec![self.dns_name()],
            PeerRole::Entry | PeerRole::Control => {
                vec![self.dns_name(), ANY_PROCESS_NAME.to_owned()]
            }
        }
    }

    /// Returns whether the name is allowed in a certificate.
    pub(crate) fn is_valid(&self) -> bool {
        let is_name_char = |c: char| c.is_ascii_lowercase() || c.is_ascii_digit() || c == '-';
        !self.name.is_empty() && self.name.len() < 64 && self.name.chars().all(is_name_char)
    }
}
