//! TLS settings for connections between the cluster's processes.

use std::sync::Arc;

use quinn::crypto::rustls::{QuicClientConfig, QuicServerConfig};
use rustls::RootCertStore;
use rustls::crypto::CryptoProvider;
use rustls::pki_types::pem::PemObject;
use rustls::pki_types::{CertificateDer, PrivateKeyDer};
use rustls::server::WebPkiClientVerifier;
use rustls::version::TLS13;
use snafu::ResultExt;

use crate::tls::tls_error::{ConfigureSnafu, ParsePemSnafu, ReadPemSnafu, VerifierSnafu};
use crate::tls::{IssuedCertificate, TlsError, TlsFiles};

/// Application protocol that both ends must negotiate in the TLS handshake.
const ALPN: &[u8] = b"chicory/1";

/// Settings of mutual TLS 1.3 between the cluster's processes.
///
/// Both ends present a certificate of the cluster's authority.
#[derive(Clone, Debug)]
pub struct PeerTls {
    client: quinn::ClientConfig,
    server: quinn::ServerConfig,
}

impl PeerTls {
    /// Loads the certificates and the key from PEM files.
    ///
    /// # Errors
    ///
    /// Returns an error if a file can't be read, for malformed PEM, or if the key doesn't belong to
    /// the certificate.
    pub fn load(files: &TlsFiles) -> Result<Self, TlsError> {
        let path = &files.ca;
        let authority = CertificateDer::from_pem_file(path).context(ReadPemSnafu { path })?;
        let path = &files.certificate;
        let chain = CertificateDer::pem_file_iter(path)
            .and_then(Iterator::collect::<Result<Vec<_>, _>>)
            .context(ReadPemSnafu { path })?;
        let path = &files.key;
        let key = PrivateKeyDer::from_pem_file(path).context(ReadPemSnafu { path })?;
        Self::new(root_store(authority)?, chain, key)
    }

    /// Creates the settings from certificates in memory.
    ///
    /// # Errors
    ///
    /// Returns an error for malformed PEM or if the key doesn't belong to the certificate.
    pub fn from_pem(authority_pem: &str, own: &IssuedCertificate) -> Result<Self, TlsError> {
        let chain = CertificateDer::pem_slice_iter(own.certificate_pem.as_bytes())
            .collect::<Result<Vec<_>, _>>()
            .context(ParsePemSnafu)?;
        let key = PrivateKeyDer::from_pem_slice(own.key_pem.as_bytes()).context(ParsePemSnafu)?;
        Self::new(roots_from_pem(authority_pem)?, chain, key)
    }

    fn new(
        roots: RootCertStore,
        chain: Vec<CertificateDer<'static>>,
        key: PrivateKeyDer<'static>,
    ) -> Result<Self, TlsError> {
        let roots = Arc::new(roots);
        let verifier = WebPkiClientVerifier::builder_with_provider(roots.clone(), provider())
            .build()
            .context(VerifierSnafu)?;
        let mut server = rustls::ServerConfig::builder_with_provider(provider())
            .with_protocol_versions(&[&TLS13])
            .context(ConfigureSnafu)?
            .with_client_cert_verifier(verifier)
            .with_single_cert(chain.clone(), key.clone_key())
            .context(ConfigureSnafu)?;
        server.alpn_protocols = vec![ALPN.to_vec()];
        let mut client = rustls::ClientConfig::builder_with_provider(provider())
            .with_protocol_versions(&[&TLS13])
            .context(ConfigureSnafu)?
            .with_root_certificates(roots)
            .with_client_auth_cert(chain, key)
            .context(ConfigureSnafu)?;
        client.alpn_protocols = vec![ALPN.to_vec()];
        // A resumed session would skip the check of an expired certificate.
        client.resumption = rustls::client::Resumption::disabled();
        let client =
            QuicClientConfig::try_from(client).map_err(|_| TlsError::NoInitialCipherSuite)?;
        let server =
            QuicServerConfig::try_from(server).map_err(|_| TlsError::NoInitialCipherSuite)?;
        Ok(Self {
            client: quinn::ClientConfig::new(Arc::new(client)),
            server: quinn::ServerConfig::with_crypto(Arc::new(server)),
        })
    }

    pub(crate) fn client_config(&self) -> quinn::ClientConfig {
        self.client.clone()
    }

    pub(crate) fn server_config(&self) -> quinn::ServerConfig {
        self.server.clone()
    }
}

pub(crate) fn provider() -> Arc<CryptoProvider> {
    Arc::new(rustls::crypto::ring::default_provider())
}

pub(crate) fn roots_from_pem(authority_pem: &str) -> Result<RootCertStore, TlsError> {
    let authority =
        CertificateDer::from_pem_slice(authority_pem.as_bytes()).context(ParsePemSnafu)?;
    root_store(authority)
}

fn root_store(authority: CertificateDer<'static>) -> Result<RootCertStore, TlsError> {
    let mut roots = RootCertStore::empty();
    roots.add(authority).context(ConfigureSnafu)?;
    Ok(roots)
}
