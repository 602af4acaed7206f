//! The cluster's own certificate authority and mutual TLS 1.3 between its processes.

mod certificate_authority;
mod issued_certificate;
mod peer_role;
mod peer_tls;
mod subject;
mod tls_error;
mod tls_files;

pub use certificate_authority::CertificateAuthority;
pub use issued_certificate::IssuedCertificate;
pub use peer_role::{PeerRole, UnknownPeerRole};
pub use peer_tls::PeerTls;
pub(crate) use subject::ANY_PROCESS_NAME;
pub use subject::Subject;
pub use tls_error::TlsError;
pub use tls_files::TlsFiles;
