//! The certificate and key files that the `ca` commands write.

use std::os::unix::fs::PermissionsExt;
use std::path::Path;
use std::time::Duration;

use chicory_ctl::command::{IssueRequest, init_authority, issue_certificate};
use chicory_ctl::{CtlError, ExitStatus};
use chicory_net::tls::{PeerRole, PeerTls, TlsFiles};
use googletest::prelude::*;

const DAY: Duration = Duration::from_hours(24);

fn request(folder: &Path, name: &str) -> IssueRequest {
    IssueRequest {
        authority_folder: folder.to_owned(),
        output_folder: folder.to_owned(),
        role: PeerRole::Operator,
        name: name.to_owned(),
        validity: DAY,
    }
}

#[gtest]
fn issued_files_make_a_working_configuration() -> Result<()> {
    let folder = tempfile::tempdir()?;
    let path = folder.path();
    init_authority(path, DAY)?;
    issue_certificate(&request(path, "ana"))?;
    let files = TlsFiles {
        ca: path.join("ca.pem"),
        certificate: path.join("operator-ana.pem"),
        key: path.join("operator-ana.key.pem"),
    };
    let mode = std::fs::metadata(&files.key)?.permissions().mode();
    expect_that!(mode & 0o077, eq(0));
    verify_that!(PeerTls::load(&files).is_ok(), eq(true))
}

#[gtest]
fn existing_files_are_not_overwritten() -> Result<()> {
    let folder = tempfile::tempdir()?;
    init_authority(folder.path(), DAY)?;
    let before = std::fs::read(folder.path().join("ca.key.pem"))?;
    let error = init_authority(folder.path(), DAY).expect_err("the authority exists");
    expect_that!(error, matches_pattern!(CtlError::FileExists { .. }));
    let after = std::fs::read(folder.path().join("ca.key.pem"))?;
    verify_that!(after, eq(&before))
}

#[gtest]
fn a_name_that_is_not_allowed_in_a_certificate_is_refused() -> Result<()> {
    let folder = tempfile::tempdir()?;
    init_authority(folder.path(), DAY)?;
    let error = issue_certificate(&request(folder.path(), "Ana María"))
        .expect_err("the name is not allowed");
    verify_that!(error.exit_status(), eq(ExitStatus::InvalidInput))
}
