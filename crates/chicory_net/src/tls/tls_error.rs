//! Errors of certificates.

use std::path::PathBuf;

use rustls::pki_types::pem;
use snafu::Snafu;

/// A failure to issue, load or use certificates.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum TlsError {
    /// A certificate or key could not be created or loaded.
    #[snafu(display("cannot create or load the certificate or key: {source}"))]
    Issue {
        /// The cause.
        source: rcgen::Error,
    },
    /// The subject's name isn't allowed in a certificate.
    #[snafu(display(
        "the name {name:?} isn't allowed in a certificate: it must consist of 1 to 63 lower-case \
         letters, digits or hyphens"
    ))]
    InvalidName {
        /// The name.
        name: String,
    },
    /// The key doesn't belong to the certificate of the authority.
    #[snafu(display("the key doesn't belong to the authority's certificate"))]
    KeyMismatch,
    /// A PEM file could not be read.
    #[snafu(display("cannot read PEM from {}: {source}", path.display()))]
    ReadPem {
        /// The file.
        path: PathBuf,
        /// The cause.
        source: pem::Error,
    },
    /// PEM text could not be parsed.
    #[snafu(display("cannot parse PEM: {source}"))]
    ParsePem {
        /// The cause.
        source: pem::Error,
    },
    /// TLS can't be configured with the certificates.
    #[snafu(display("cannot configure TLS with the certificates: {source}"))]
    Configure {
        /// The cause.
        source: rustls::Error,
    },
    /// The authority's certificate can't be used as a trust anchor.
    #[snafu(display("the authority's certificate can't be used as a trust anchor: {source}"))]
    Verifier {
        /// The cause.
        source: rustls::server::VerifierBuilderError,
    },
    /// The TLS provider has no cipher suite for QUIC's initial packets.
    #[snafu(display("no initial cipher suite for QUIC"))]
    NoInitialCipherSuite,
}
