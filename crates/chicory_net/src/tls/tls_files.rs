//! Paths of a process's certificates.

use std::path::PathBuf;

/// Paths of a process's PEM files: the authority's certificate, its own certificate and key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TlsFiles {
    /// Certificate of the cluster's authority.
    pub ca: PathBuf,
    /// The process's certificate.
    pub certificate: PathBuf,
    /// The process's private key.
    pub key: PathBuf,
}
