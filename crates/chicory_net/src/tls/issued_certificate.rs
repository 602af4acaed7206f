//! A certificate with its private key.

/// A certificate with its private key, both in PEM.
#[derive(Clone)]
pub struct IssuedCertificate {
    /// The certificate.
    pub certificate_pem: String,
    /// The private key; a file that stores it must be readable by its owner only.
    pub key_pem: String,
}

impl std::fmt::Debug for IssuedCertificate {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("IssuedCertificate")
            .field("certificate_pem", &self.certificate_pem)
            .finish_non_exhaustive()
    }
}
