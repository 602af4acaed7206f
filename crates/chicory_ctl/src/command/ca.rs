//! The `ca` commands, which create the cluster's certificate authority and certificates.

use std::fs::OpenOptions;
use std::io::{ErrorKind, Write};
use std::os::unix::fs::OpenOptionsExt;
use std::path::{Path, PathBuf};
use std::time::Duration;

use chicory_net::tls::{CertificateAuthority, PeerRole, Subject};
use serde_json::json;
use snafu::ResultExt;

use crate::ctl_error::{CertificatesSnafu, FileExistsSnafu, FileSnafu};
use crate::{CtlError, Report};

/// The file name of the authority's certificate.
const AUTHORITY_CERTIFICATE: &str = "ca.pem";
/// The file name of the authority's private key.
const AUTHORITY_KEY: &str = "ca.key.pem";
/// The file mode of private keys, which lets only their owner read them.
const PRIVATE_MODE: u32 = 0o600;
/// The file mode of certificates.
const PUBLIC_MODE: u32 = 0o644;

/// The parameters of a certificate to issue.
#[derive(Clone, Debug)]
pub struct IssueRequest {
    /// The folder of the certificate authority.
    pub authority_folder: PathBuf,
    /// The folder in which the certificate and its private key are written.
    pub output_folder: PathBuf,
    /// The role of the holder, which decides what the holder may do.
    pub role: PeerRole,
    /// The name of the VM or operator.
    pub name: String,
    /// How long the certificate is valid.
    pub validity: Duration,
}

/// Creates a new certificate authority in `authority_folder`.
///
/// # Errors
///
/// Returns a [`CtlError`] if the folder already has an authority or the files can't be written.
pub fn init_authority(authority_folder: &Path, validity: Duration) -> Result<Report, CtlError> {
    std::fs::create_dir_all(authority_folder).context(FileSnafu {
        path: authority_folder,
    })?;
    let authority = CertificateAuthority::init(validity).context(CertificatesSnafu)?;
    let certificate = authority_folder.join(AUTHORITY_CERTIFICATE);
    let key = authority_folder.join(AUTHORITY_KEY);
    write_new_file(&key, authority.key_pem(), PRIVATE_MODE)?;
    write_new_file(&certificate, authority.certificate_pem(), PUBLIC_MODE)?;
    Ok(files_report(&certificate, &key))
}

/// Issues a certificate with a new private key.
///
/// # Errors
///
/// Returns a [`CtlError`] if the authority can't be read, the name isn't allowed in a certificate,
/// or the files already exist or can't be written.
pub fn issue_certificate(request: &IssueRequest) -> Result<Report, CtlError> {
    let certificate_pem = read_file(&request.authority_folder.join(AUTHORITY_CERTIFICATE))?;
    let key_pem = read_file(&request.authority_folder.join(AUTHORITY_KEY))?;
    let authority = CertificateAuthority::load(&certificate_pem, &key_pem);
    let authority = authority.context(CertificatesSnafu)?;
    let subject = Subject::new(request.role, &request.name);
    let issued = authority.issue(&subject, request.validity);
    let issued = issued.context(CertificatesSnafu)?;
    let path = &request.output_folder;
    std::fs::create_dir_all(path).context(FileSnafu { path })?;
    let stem = format!("{}-{}", request.role, request.name);
    let certificate = path.join(format!("{stem}.pem"));
    let key = path.join(format!("{stem}.key.pem"));
    write_new_file(&key, &issued.key_pem, PRIVATE_MODE)?;
    write_new_file(&certificate, &issued.certificate_pem, PUBLIC_MODE)?;
    Ok(files_report(&certificate, &key))
}

fn files_report(certificate: &Path, key: &Path) -> Report {
    Report {
        text: format!("{}\n{}\n", certificate.display(), key.display()),
        json: json!({"certificate": certificate, "key": key}),
    }
}

fn read_file(path: &Path) -> Result<String, CtlError> {
    std::fs::read_to_string(path).context(FileSnafu { path })
}

fn write_new_file(path: &Path, text: &str, mode: u32) -> Result<(), CtlError> {
    let mut options = OpenOptions::new();
    let file = options.write(true).create_new(true).mode(mode).open(path);
    let mut file = match file {
        Err(error) if error.kind() == ErrorKind::AlreadyExists => {
            return FileExistsSnafu { path }.fail();
        }
        file => file.context(FileSnafu { path })?,
    };
    file.write_all(text.as_bytes())
        .and_then(|()| file.sync_all())
        .context(FileSnafu { path })
}
