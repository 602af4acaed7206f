//! The holder that a certificate names.

use crate::tls::PeerRole;

/// Domain under which certificates name processes and operators.
const CERTIFICATE_DOMAIN: &str = "chicory";
/// Name that every process's certificate carries besides its own, which clients ask for.
pub(crate) const ANY_PROCESS_NAME: &str = "process.chicory";

/// The holder that a certificate names.
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

    /// The DNS name that stands for the subject in its certificate.
    #[must_use]
    pub fn dns_name(&self) -> String {
        format!("{}.{}.{CERTIFICATE_DOMAIN}", self.name, self.role)
    }

    /// All DNS names of the subject's certificate.
    pub(crate) fn certificate_names(&self) -> Vec<String> {
        match self.role {
            PeerRole::Operator => vec![self.dns_name()],
            PeerRole::Entry | PeerRole::Control => {
                vec![self.dns_name(), ANY_PROCESS_NAME.to_owned()]
            }
        }
    }

    /// Whether the name can stand in a certificate.
    pub(crate) fn is_valid(&self) -> bool {
        let is_name_char = |c: char| c.is_ascii_lowercase() || c.is_ascii_digit() || c == '-';
        !self.name.is_empty() && self.name.len() < 64 && self.name.chars().all(is_name_char)
    }
}
