//! Failures with certificates.

use std::path::PathBuf;

use rustls::pki_types::pem;
use snafu::Snafu;

/// A failure to make, load or use certificates.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum TlsError {
    /// A certificate or key could not be made.
    #[snafu(display("cannot make the certificate: {source}"))]
    Issue {
        /// The cause.
        source: rcgen::Error,
    },
    /// The name can't stand in a certificate.
    #[snafu(display(
        "{name:?} can't be named in a certificate: lower-case letters, digits and hyphens only, \
         fewer than 64"
    ))]
    InvalidName {
        /// The name.
        name: String,
    },
    /// The key isn't the one that signed the certificate of the authority.
    #[snafu(display("the key isn't the one of the authority's certificate"))]
    KeyMismatch,
    /// A PEM file could not be read.
    #[snafu(display("cannot read PEM from {}: {source}", path.display()))]
    ReadPem {
        /// The file.
        path: PathBuf,
        /// The cause.
        source: pem::Error,
    },
    /// A PEM text could not be read.
    #[snafu(display("cannot read PEM: {source}"))]
    ParsePem {
        /// The cause.
        source: pem::Error,
    },
    /// The certificates don't make a working configuration.
    #[snafu(display("the certificates can't be used: {source}"))]
    Configure {
        /// The cause.
        source: rustls::Error,
    },
    /// The authority's certificate can't be a trust anchor.
    #[snafu(display("the authority's certificate can't be used: {source}"))]
    Verifier {
        /// The cause.
        source: rustls::server::VerifierBuilderError,
    },
    /// TLS offers no cipher that QUIC can start with.
    #[snafu(display("no initial cipher suite for QUIC"))]
    NoInitialCipherSuite,
}
