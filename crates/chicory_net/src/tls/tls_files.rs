//! Where a process finds its certificates.

use std::path::PathBuf;

/// PEM files of a process: the cluster's certificate authority and its own certificate.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TlsFiles {
    /// Certificate of the cluster's authority.
    pub ca: PathBuf,
    /// The process's certificate.
    pub certificate: PathBuf,
    /// The process's private key.
    pub key: PathBuf,
}
