//! Invalid certificates and identities are rejected with a typed error and counted.

mod support;

use std::sync::Arc;
use std::time::{Duration, SystemTime};

use chicory_net::NetMetric;
use chicory_net::peer::{NoFaults, PeerError};
use chicory_net::tls::{CertificateAuthority, PeerRole, PeerTls, Subject, TlsError, TlsFiles};
use chicory_telemetry::Metrics;
use googletest::prelude::*;
use support::{DAY, authority, bind, identity, peer, tls};

/// Waits until the counter isn't zero: the two ends detect a rejection at different times.
async fn wait_until_counted(metrics: &Metrics, metric: NetMetric) {
    while metrics.total(metric) == 0 {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
}

fn expired_tls(authority: &CertificateAuthority, name: &str) -> PeerTls {
    let now = SystemTime::now();
    let subject = Subject::new(PeerRole::Entry, name);
    let own = authority
        .issue_between(&subject, now - 2 * DAY, now - DAY)
        .expect("a certificate");
    PeerTls::from_pem(authority.certificate_pem(), &own).expect("settings")
}

#[gtest]
#[tokio::test]
async fn an_expired_certificate_of_the_connecting_end_is_refused() {
    let authority = authority();
    let tls = expired_tls(&authority, "vm-1");
    let client = bind(&tls, &identity("vm-1"), Arc::new(NoFaults));
    let mut server = peer(&authority, "vm-2");
    // In TLS 1.3 the handshake of the connecting end completes before the accepting end has
    // verified the client's certificate, so `connect` may succeed here.
    let _ = client.endpoint.connect(server.address).await;
    wait_until_counted(&server.metrics, NetMetric::ExpiredCertificates).await;
    expect_that!(server.incoming.try_recv(), err(anything()));
}

#[gtest]
#[tokio::test]
async fn an_expired_certificate_of_the_accepting_end_is_refused() {
    let authority = authority();
    let client = peer(&authority, "vm-1");
    let tls = expired_tls(&authority, "vm-2");
    let server = bind(&tls, &identity("vm-2"), Arc::new(NoFaults));
    let refused = client.endpoint.connect(server.address).await;
    expect_that!(
        refused,
        err(matches_pattern!(PeerError::CertificateExpired))
    );
    expect_that!(client.metrics.total(NetMetric::ExpiredCertificates), eq(1));
}

#[gtest]
#[tokio::test]
async fn a_certificate_of_a_foreign_authority_is_refused() {
    let ours = authority();
    let client = peer(&ours, "vm-1");
    let theirs = authority();
    let server = peer(&theirs, "vm-2");
    let refused = client.endpoint.connect(server.address).await;
    expect_that!(
        refused,
        err(matches_pattern!(PeerError::CertificateForeign))
    );
    expect_that!(client.metrics.total(NetMetric::ForeignCertificates), eq(1));
}

#[gtest]
#[tokio::test]
async fn a_foreign_certificate_of_the_connecting_end_is_refused() {
    let ours = authority();
    let mut server = peer(&ours, "vm-2");
    let theirs = authority();
    let subject = Subject::new(PeerRole::Entry, "vm-1");
    let own = theirs.issue(&subject, DAY).expect("a certificate");
    // The client trusts our authority, but its own certificate is of another one.
    let tls = PeerTls::from_pem(ours.certificate_pem(), &own).expect("settings");
    let client = bind(&tls, &identity("vm-1"), Arc::new(NoFaults));
    let _ = client.endpoint.connect(server.address).await;
    wait_until_counted(&server.metrics, NetMetric::ForeignCertificates).await;
    expect_that!(server.incoming.try_recv(), err(anything()));
}

#[gtest]
#[tokio::test]
async fn a_stated_name_that_is_not_certified_is_refused() {
    let authority = authority();
    let tls = tls(&authority, "vm-1");
    let client = bind(&tls, &identity("vm-3"), Arc::new(NoFaults));
    let mut server = peer(&authority, "vm-2");
    let _ = client.endpoint.connect(server.address).await;
    wait_until_counted(&server.metrics, NetMetric::IdentityMismatches).await;
    expect_that!(server.incoming.try_recv(), err(anything()));
}

#[gtest]
#[tokio::test]
async fn a_process_of_another_cluster_is_refused() {
    let authority = authority();
    let mut other = identity("vm-1");
    other.cluster = "other-cluster".to_owned();
    let client = bind(&tls(&authority, "vm-1"), &other, Arc::new(NoFaults));
    let mut server = peer(&authority, "vm-2");
    let _ = client.endpoint.connect(server.address).await;
    wait_until_counted(&server.metrics, NetMetric::IdentityMismatches).await;
    expect_that!(server.incoming.try_recv(), err(anything()));
}

#[gtest]
#[tokio::test]
async fn an_operator_may_not_act_as_a_server() {
    let authority = authority();
    let client = peer(&authority, "vm-1");
    let subject = Subject::new(PeerRole::Operator, "ana");
    let own = authority.issue(&subject, DAY).expect("a certificate");
    let tls = PeerTls::from_pem(authority.certificate_pem(), &own).expect("settings");
    let server = bind(&tls, &identity("ana"), Arc::new(NoFaults));
    let refused = client.endpoint.connect(server.address).await;
    expect_that!(
        refused,
        err(matches_pattern!(PeerError::CertificateForeign))
    );
}

#[gtest]
fn an_authority_loads_again_and_refuses_the_key_of_another_authority() {
    let ours = authority();
    let theirs = authority();
    expect_that!(
        CertificateAuthority::load(ours.certificate_pem(), ours.key_pem()),
        ok(anything())
    );
    expect_that!(
        CertificateAuthority::load(ours.certificate_pem(), theirs.key_pem()),
        err(matches_pattern!(TlsError::KeyMismatch))
    );
}

#[gtest]
fn names_that_cannot_stand_in_a_certificate_are_refused() {
    let authority = authority();
    for name in ["", "vm.1", "VM", "vm 1", "*"] {
        let issued = authority.issue(&Subject::new(PeerRole::Control, name), DAY);
        expect_that!(issued, err(matches_pattern!(TlsError::InvalidName { .. })));
    }
}

#[gtest]
fn missing_and_malformed_files_are_typed_errors() -> Result<()> {
    let folder = tempfile::tempdir()?;
    let files = TlsFiles {
        ca: folder.path().join("ca.pem"),
        certificate: folder.path().join("own.pem"),
        key: folder.path().join("own.key"),
    };
    expect_that!(
        PeerTls::load(&files),
        err(matches_pattern!(TlsError::ReadPem { .. }))
    );
    std::fs::write(&files.ca, "not PEM")?;
    expect_that!(
        PeerTls::load(&files),
        err(matches_pattern!(TlsError::ReadPem { .. }))
    );
    Ok(())
}
