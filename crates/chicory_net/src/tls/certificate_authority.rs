//! The cluster's certificate authority.

use std::time::{Duration, SystemTime};

use rcgen::{
    BasicConstraints, CertificateParams, DnType, ExtendedKeyUsagePurpose, IsCa, Issuer, KeyPair,
    KeyUsagePurpose,
};
use rustls::pki_types::pem::PemObject;
use rustls::pki_types::{CertificateDer, UnixTime};
use rustls::server::WebPkiClientVerifier;
use snafu::{OptionExt, ResultExt, ensure};

use crate::tls::tls_error::{
    InvalidNameSnafu, IssueSnafu, KeyMismatchSnafu, ParsePemSnafu, VerifierSnafu,
};
use crate::tls::{IssuedCertificate, Subject, TlsError, peer_tls};

/// Common name of the authority; fixed, so that it can be loaded without parsing certificates.
const AUTHORITY_NAME: &str = "chicoryshelf cluster authority";
/// Time by which the start of validity precedes the issue, to allow for clock differences.
const BACKDATING: Duration = Duration::from_mins(5);
/// Validity of the temporary certificate that is issued to check a loaded key.
const PROBE_VALIDITY: Duration = Duration::from_hours(1);

/// The cluster's certificate authority, which issues a certificate to each process and operator.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
///
/// use chicory_net::tls::{CertificateAuthority, PeerRole, Subject};
///
/// let day = Duration::from_secs(86_400);
/// let authority = CertificateAuthority::init(3650 * day)?;
/// let issued = authority.issue(&Subject::new(PeerRole::Entry, "vm-1"), 365 * day)?;
/// assert!(issued.certificate_pem.starts_with("-----BEGIN CERTIFICATE"));
/// # Ok::<(), chicory_net::tls::TlsError>(())
/// ```
pub struct CertificateAuthority {
    certificate_pem: String,
    key_pem: String,
    issuer: Issuer<'static, KeyPair>,
}

impl CertificateAuthority {
    /// Creates a new authority with a new key.
    ///
    /// # Errors
    ///
    /// Returns an error if the key or certificate can't be created.
    pub fn init(validity: Duration) -> Result<Self, TlsError> {
        let key = KeyPair::generate().context(IssueSnafu)?;
        let params = authority_params(validity);
        let certificate = params.self_signed(&key).context(IssueSnafu)?;
        Ok(Self {
            certificate_pem: certificate.pem(),
            key_pem: key.serialize_pem(),
            issuer: Issuer::new(params, key),
        })
    }

    /// Loads an authority from its certificate and private key in PEM.
    ///
    /// # Errors
    ///
    /// Returns an error for malformed PEM or if the key doesn't belong to the certificate.
    pub fn load(certificate_pem: &str, key_pem: &str) -> Result<Self, TlsError> {
        let key = KeyPair::from_pem(key_pem).context(IssueSnafu)?;
        let authority = Self {
            certificate_pem: certificate_pem.to_owned(),
            key_pem: key_pem.to_owned(),
            issuer: Issuer::new(authority_params(PROBE_VALIDITY), key),
        };
        authority.check_key()?;
        Ok(authority)
    }

    /// Issues a certificate that is valid from now for `validity`.
    ///
    /// # Errors
    ///
    /// Returns an error if the subject's name isn't allowed in a certificate.
    pub fn issue(
        &self,
        subject: &Subject,
        validity: Duration,
    ) -> Result<IssuedCertificate, TlsError> {
        let now = SystemTime::now();
        self.issue_between(subject, now - BACKDATING, now + validity)
    }

    /// Issues a certificate that is valid between two points in time.
    ///
    /// # Errors
    ///
    /// Returns an error if the subject's name isn't allowed in a certificate.
    pub fn issue_between(
        &self,
        subject: &Subject,
        not_before: SystemTime,
        not_after: SystemTime,
    ) -> Result<IssuedCertificate, TlsError> {
        ensure!(
            subject.is_valid(),
            InvalidNameSnafu {
                name: &subject.name
            }
        );
        let key = KeyPair::generate().context(IssueSnafu)?;
        let mut params = CertificateParams::new(subject.certificate_names()).context(IssueSnafu)?;
        params.distinguished_name = rcgen::DistinguishedName::new();
        params
            .distinguished_name
            .push(DnType::CommonName, subject.dns_name());
        params.not_before = not_before.into();
        params.not_after = not_after.into();
        params.use_authority_key_identifier_extension = true;
        params.key_usages.push(KeyUsagePurpose::DigitalSignature);
        params.extended_key_usages = vec![
            ExtendedKeyUsagePurpose::ClientAuth,
            ExtendedKeyUsagePurpose::ServerAuth,
        ];
        let certificate = params.signed_by(&key, &self.issuer).context(IssueSnafu)?;
        Ok(IssuedCertificate {
            certificate_pem: certificate.pem(),
            key_pem: key.serialize_pem(),
        })
    }

    /// Returns the authority's certificate in PEM.
    #[must_use]
    pub fn certificate_pem(&self) -> &str {
        &self.certificate_pem
    }

    /// Returns the authority's private key in PEM.
    #[must_use]
    pub fn key_pem(&self) -> &str {
        &self.key_pem
    }

    /// Checks that the key belongs to the certificate: issues a temporary certificate and verifies
    /// it against the authority's certificate.
    fn check_key(&self) -> Result<(), TlsError> {
        let probe = Subject::new(crate::tls::PeerRole::Operator, "probe");
        let issued = self.issue(&probe, PROBE_VALIDITY)?;
        let probe = CertificateDer::from_pem_slice(issued.certificate_pem.as_bytes())
            .context(ParsePemSnafu)?;
        let roots = peer_tls::roots_from_pem(&self.certificate_pem)?;
        let verifier =
            WebPkiClientVerifier::builder_with_provider(roots.into(), peer_tls::provider())
                .build()
                .context(VerifierSnafu)?;
        verifier
            .verify_client_cert(&probe, &[], UnixTime::now())
            .ok()
            .context(KeyMismatchSnafu)?;
        Ok(())
    }
}

/// Returns the contents of the authority's own certificate.
fn authority_params(validity: Duration) -> CertificateParams {
    let now = SystemTime::now();
    let mut params = CertificateParams::default();
    params.distinguished_name = rcgen::DistinguishedName::new();
    params
        .distinguished_name
        .push(DnType::CommonName, AUTHORITY_NAME);
    params.is_ca = IsCa::Ca(BasicConstraints::Constrained(0));
    params.key_usages = vec![KeyUsagePurpose::KeyCertSign, KeyUsagePurpose::CrlSign];
    params.not_before = (now - BACKDATING).into();
    params.not_after = (now + validity).into();
    params
}

impl std::fmt::Debug for CertificateAuthority {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("CertificateAuthority")
            .field("certificate_pem", &self.certificate_pem)
            .finish_non_exhaustive()
    }
}
