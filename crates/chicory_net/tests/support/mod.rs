//! Peers on loopback addresses, for the tests.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use chicory_net::peer::{FaultSwitch, IncomingConnection, NoFaults, PeerEndpoint, PeerIdentity};
use chicory_net::tls::{CertificateAuthority, PeerRole, PeerTls, Subject};
use chicory_telemetry::Metrics;
use tokio::sync::mpsc;

pub const DAY: Duration = Duration::from_hours(24);
pub const CLUSTER: &str = "test-cluster";

/// A peer with its metrics and accepted connections.
pub struct Peer {
    pub endpoint: PeerEndpoint,
    pub incoming: mpsc::Receiver<IncomingConnection>,
    pub metrics: Arc<Metrics>,
    pub address: SocketAddr,
}

pub fn authority() -> CertificateAuthority {
    CertificateAuthority::init(DAY).expect("an authority")
}

pub fn identity(name: &str) -> PeerIdentity {
    PeerIdentity {
        subject: Subject::new(PeerRole::Entry, name),
        cluster: CLUSTER.to_owned(),
        zone: "zone-a".to_owned(),
    }
}

pub fn tls(authority: &CertificateAuthority, name: &str) -> PeerTls {
    let subject = Subject::new(PeerRole::Entry, name);
    let own = authority.issue(&subject, DAY).expect("a certificate");
    PeerTls::from_pem(authority.certificate_pem(), &own).expect("settings")
}

pub fn peer(authority: &CertificateAuthority, name: &str) -> Peer {
    bind(&tls(authority, name), &identity(name), Arc::new(NoFaults))
}

pub fn bind(tls: &PeerTls, identity: &PeerIdentity, faults: Arc<dyn FaultSwitch>) -> Peer {
    let metrics = Arc::new(Metrics::new().expect("metrics"));
    let any_port = SocketAddr::from(([127, 0, 0, 1], 0));
    let (endpoint, incoming) =
        PeerEndpoint::bind(any_port, tls, identity, faults, metrics.clone()).expect("a port");
    let address = endpoint.local_addr().expect("an address");
    Peer {
        endpoint,
        incoming,
        metrics,
        address,
    }
}
