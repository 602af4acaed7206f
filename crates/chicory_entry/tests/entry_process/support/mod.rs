//! Entry processes with a control process, backend servers and callers on loopback.

pub mod fake_server;
pub mod fake_zone;

use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use bytes::Bytes;
use chicory_entry::{EntryProcess, EntrySettings};
use chicory_net::http::{HttpBody, HttpLimits, ServerLink};
use chicory_net::tls::{CertificateAuthority, PeerRole, Subject, TlsFiles};
use chicory_telemetry::LogFormat;
use http_body_util::BodyExt;
use hyper::http::response::Parts;
use hyper::{Request, StatusCode};
use slog::{Discard, Logger, o};

pub use fake_server::FakeServer;
pub use fake_zone::FakeZone;

pub const CLUSTER: &str = "test-cluster";
pub const ZONE: &str = "zone-a";
pub const CONNECT_TIMEOUT: Duration = Duration::from_secs(20);
const DAY: Duration = Duration::from_hours(24);

pub fn any_port() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

/// Writes the certificates of a process into a folder.
pub fn issue(
    authority: &CertificateAuthority,
    folder: &Path,
    role: PeerRole,
    name: &str,
) -> TlsFiles {
    let issued = authority
        .issue(&Subject::new(role, name), DAY)
        .expect("a certificate");
    let files = TlsFiles {
        ca: folder.join("ca.pem"),
        certificate: folder.join(format!("{name}.pem")),
        key: folder.join(format!("{name}.key")),
    };
    std::fs::write(&files.ca, authority.certificate_pem()).expect("written");
    std::fs::write(&files.certificate, issued.certificate_pem).expect("written");
    std::fs::write(&files.key, issued.key_pem).expect("written");
    files
}

/// A cluster of one zone with one fake control process, in which entry processes can be started.
pub struct TestCluster {
    pub authority: CertificateAuthority,
    pub folder: tempfile::TempDir,
    pub zone: FakeZone,
}

impl TestCluster {
    pub fn new() -> Self {
        let authority = CertificateAuthority::init(DAY).expect("an authority");
        let folder = tempfile::tempdir().expect("a folder");
        let zone = FakeZone::start(&authority, folder.path());
        Self {
            authority,
            folder,
            zone,
        }
    }

    pub fn settings(&self, vm: &str) -> EntrySettings {
        EntrySettings {
            cluster: CLUSTER.to_owned(),
            vm: vm.to_owned(),
            zone: ZONE.to_owned(),
            listen: any_port(),
            announce_listen: any_port(),
            admin_listen: any_port(),
            peer_listen: any_port(),
            control: [("control-1".to_owned(), self.zone.address)].into(),
            tls: issue(&self.authority, self.folder.path(), PeerRole::Entry, vm),
            log_format: LogFormat::Json,
            trace_file: None,
            fault_file: None,
            caller_limits: HttpLimits {
                max_head_bytes: 8_192,
                max_connections: 100,
                head_timeout: Duration::from_mins(1),
            },
            max_buffered_bytes: 65_536,
            max_requests: 1_000,
            server_lease: Duration::from_secs(2),
            renew_interval: Duration::from_millis(50),
            retry_percent: 10,
            stop_delay: Duration::from_millis(100),
        }
    }

    /// Starts an entry process and waits until it is ready.
    pub async fn entry(&self, vm: &str) -> EntryProcess {
        self.entry_with(self.settings(vm)).await
    }

    pub async fn entry_with(&self, settings: EntrySettings) -> EntryProcess {
        let process = EntryProcess::start(settings, Logger::root(Discard, o!()))
            .await
            .expect("started");
        let admin = process.addresses().admin;
        while get(admin, "/readyz").await.status != StatusCode::OK {
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
        process
    }
}

/// A complete answer.
#[derive(Debug)]
pub struct Answer {
    pub status: StatusCode,
    pub head: Parts,
    pub body: Bytes,
}

impl Answer {
    pub fn header(&self, name: &str) -> &str {
        let value = self.head.headers.get(name);
        value.map_or("", |value| value.to_str().expect("text"))
    }

    pub fn text(&self) -> &str {
        std::str::from_utf8(&self.body).expect("text")
    }
}

/// Sends a request over a new connection; returns `None` if no complete answer was received.
pub async fn try_send(to: SocketAddr, request: Request<HttpBody>) -> Option<Answer> {
    let mut link = ServerLink::open(&to.to_string(), CONNECT_TIMEOUT, || ())
        .await
        .ok()?;
    let response = link.send(request).await.ok()?;
    let (head, body) = response.into_parts();
    let body = body.collect().await.ok()?.to_bytes();
    Some(Answer {
        status: head.status,
        head,
        body,
    })
}

pub async fn send(to: SocketAddr, request: Request<HttpBody>) -> Answer {
    try_send(to, request).await.expect("a complete answer")
}

pub async fn get(to: SocketAddr, path: &str) -> Answer {
    let request = Request::get(path).header("host", "test");
    send(to, request.body(HttpBody::empty()).expect("a request")).await
}

/// Repeats a request until it is answered with status 200, because the entry process needs some
/// time until it has received the grants and connected to the backend server.
pub async fn get_until_ok(to: SocketAddr, path: &str) -> Answer {
    loop {
        let answer = get(to, path).await;
        if answer.status == StatusCode::OK {
            return answer;
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}
