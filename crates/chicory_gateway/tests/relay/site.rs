//! An entry process that relays requests, and a client that sends requests by way of it.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use chicory_directory::{
    ControlMessage, DirectoryUpdate, LinkStatus, RelayPeer, ServerRecord, ServerState,
};
use chicory_gateway::{
    AttemptOutcome, GatewayConfig, GatewayProcess, GatewayProcessConfig, RelayClient, RelayedCall,
    Target,
};
use chicory_link::split;
use chicory_net::admin::Readiness;
use chicory_net::http::{HttpBody, ServerLink};
use chicory_ranges::ServerIncarnation;
use chicory_routes::{RouteTable, RouteTableDelta};
use chicory_telemetry::Metrics;
use chicory_types::{BootClock, Clock};
use chicory_wire::proto::site;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use hyper::{Request, Response};
use slog::{Logger, o};
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::watch;

use crate::backend_server::BackendServer;
use crate::interfaces::{NoCallers, PreparingInterface};

/// Time after which a test fails. It does not influence results otherwise.
pub const DEADLINE: Duration = Duration::from_secs(30);
const LOOPBACK: [u8; 4] = [127, 0, 0, 1];

/// An answer, or the outcome of an attempt without one.
pub type Sent = Result<(ServerLink, Response<Incoming>), AttemptOutcome>;

/// An entry process that relays requests to one backend server.
pub struct Site {
    pub peer: RelayPeer,
    pub metrics: Arc<Metrics>,
    pub server: Arc<BackendServer>,
    pub readiness: Readiness,
    pub stop: watch::Sender<bool>,
    /// Update of the directory that is sent in answer to the next report.
    pub updates: watch::Sender<DirectoryUpdate>,
}

impl Site {
    /// Starts an entry process and waits until it knows the server.
    pub async fn start() -> Self {
        let server = BackendServer::start().await;
        let address = server.address;
        Self::start_with_directory(server, address).await
    }

    /// Starts an entry process whose directory has this address for the server.
    pub async fn start_with_directory(server: BackendServer, address: SocketAddr) -> Self {
        Self::start_with_relay_address(server, address, free_address()).await
    }

    /// Starts an entry process whose link has this rate in bytes per second.
    pub async fn start_with_thin_link(bytes_per_s: f64) -> Self {
        let server = BackendServer::start().await;
        let address = server.address;
        let config = GatewayConfig {
            thin_link_bytes_per_s: Some(bytes_per_s),
            ..GatewayConfig::default()
        };
        Self::start_with_config(server, address, free_address(), config).await
    }

    /// Starts an entry process that relays at this address if it can listen there.
    pub async fn start_with_relay_address(
        server: BackendServer,
        address: SocketAddr,
        relay_address: SocketAddr,
    ) -> Self {
        let config = GatewayConfig::default();
        Self::start_with_config(server, address, relay_address, config).await
    }

    async fn start_with_config(
        server: BackendServer,
        address: SocketAddr,
        relay_address: SocketAddr,
        gateway_config: GatewayConfig,
    ) -> Self {
        let control = TcpListener::bind(SocketAddr::from((LOOPBACK, 0))).await;
        let control = control.expect("a free port");
        let control_address = control.local_addr().expect("an address");
        let updates = watch::Sender::new(DirectoryUpdate::default());
        tokio::spawn(run_control_vm(control, address, updates.subscribe()));
        let peer = peer_at(relay_address);
        let config = GatewayProcessConfig {
            vm: peer.vm.clone(),
            zone: "north".into(),
            caller_address: SocketAddr::from((LOOPBACK, 0)),
            relay_address: Some(peer.address),
            relay_listen_address: None,
            seeds: vec![control_address.to_string()],
            stop_grace: Duration::from_secs(20),
            gateway_config,
        };
        let metrics = Arc::new(Metrics::new().expect("metrics"));
        let readiness = Readiness::default();
        let started = GatewayProcess::start(
            config,
            Arc::new(BootClock),
            (Arc::new(NoCallers) as _, Arc::new(PreparingInterface) as _),
            readiness.clone(),
            Logger::root(slog::Discard, o!()),
            metrics.clone(),
        );
        let process = started.await.expect("an entry process");
        let (stop, stopped) = watch::channel(false);
        tokio::spawn(process.run(stopped));
        while !readiness.is_ready() {
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
        Self {
            peer,
            metrics,
            server: Arc::new(server),
            readiness,
            stop,
            updates,
        }
    }

    /// Returns the target of a request to the server.
    pub fn target(&self) -> Target {
        target_at(self.server.address)
    }
}

/// Returns the incarnation of the server that a [`Site`] knows.
pub fn incarnation() -> ServerIncarnation {
    ServerIncarnation::new("i-1", 7)
}

/// Returns the record of the server that a [`Site`] knows.
pub fn server_record(address: SocketAddr) -> ServerRecord {
    ServerRecord {
        incarnation: incarnation(),
        service: "archive".into(),
        address,
        zone: "north".into(),
        software_version: String::new(),
        slots: 4,
        state: ServerState::Ready,
        cold_for: Duration::ZERO,
    }
}

pub fn target_at(address: SocketAddr) -> Target {
    Target {
        incarnation: incarnation(),
        address,
        attempt_deadline: BootClock.now() + DEADLINE,
        can_be_followed: false,
        max_idle: Duration::from_secs(2),
        connect_timeout: Duration::from_secs(5),
        settle_time: Duration::ZERO,
        has_permit: false,
        relay: None,
    }
}

pub fn peer_at(address: SocketAddr) -> RelayPeer {
    RelayPeer {
        vm: "entry-2".into(),
        address,
        zone: "north".into(),
    }
}

pub fn free_address() -> SocketAddr {
    let listener = std::net::TcpListener::bind(SocketAddr::from((LOOPBACK, 0)));
    let listener = listener.expect("a free port");
    listener.local_addr().expect("an address")
}

/// Binds a port on which nothing listens.
pub fn bind() -> (TcpSocket, SocketAddr) {
    let socket = TcpSocket::new_v4().expect("a socket");
    let bound = socket.bind(SocketAddr::from((LOOPBACK, 0)));
    bound.expect("a free port");
    let address = socket.local_addr().expect("an address");
    (socket, address)
}

/// Sends the directory to each entry process, and a status in answer to each report.
async fn run_control_vm(
    listener: TcpListener,
    server: SocketAddr,
    updates: watch::Receiver<DirectoryUpdate>,
) {
    while let Ok((stream, _)) = listener.accept().await {
        tokio::spawn(serve_entry(stream, server, updates.clone()));
    }
}

async fn serve_entry(
    stream: TcpStream,
    server: SocketAddr,
    mut updates: watch::Receiver<DirectoryUpdate>,
) {
    let mut link = split(stream).expect("a link");
    link.0.next().await.expect("a hello");
    let status = ControlMessage::Status(LinkStatus {
        is_in_contact: true,
        ..LinkStatus::default()
    });
    let update = ControlMessage::Update(DirectoryUpdate {
        version: 1,
        is_full: true,
        routes: Some(RouteTableDelta::whole(&RouteTable {
            version: 1,
            ..RouteTable::default()
        })),
        servers: vec![server_record(server)],
        ..DirectoryUpdate::default()
    });
    link.1.put(&site::ControlMessage::from(status.clone()));
    link.1.put(&site::ControlMessage::from(update));
    while link.1.flush().await.is_ok() {
        let Ok(Some(_)) = link.0.next().await else {
            return;
        };
        if updates.has_changed().unwrap_or(false) {
            let update = ControlMessage::Update(updates.borrow_and_update().clone());
            link.1.put(&site::ControlMessage::from(update));
        }
        link.1.put(&site::ControlMessage::from(status.clone()));
    }
}

pub fn client() -> RelayClient {
    let metrics = Arc::new(Metrics::new().expect("metrics"));
    RelayClient::new("entry-1".into(), Arc::new(BootClock), metrics)
}

/// Sends a request once.
pub async fn send_once(
    client: &RelayClient,
    peer: &RelayPeer,
    target: &Target,
    request: impl Fn() -> Request<HttpBody> + Send + Sync,
) -> Sent {
    send_once_as("a-1", client, (peer, target), request).await
}

/// Sends a request with this id once.
async fn send_once_as(
    id: &str,
    client: &RelayClient,
    (peer, target): (&RelayPeer, &Target),
    request: impl Fn() -> Request<HttpBody> + Send + Sync,
) -> Sent {
    let call = RelayedCall {
        request: Some(id),
        time_left: DEADLINE,
    };
    let sent = client.send(peer, target, call, || Ok(request()));
    tokio::time::timeout(DEADLINE, sent).await.expect("an end")
}

/// Sends a request until the entry process takes it: on a busy machine it counts as overloaded now
/// and then, and nothing is sent to the server.
pub async fn send(
    client: &RelayClient,
    peer: &RelayPeer,
    target: &Target,
    request: impl Fn() -> Request<HttpBody> + Send + Sync,
) -> Sent {
    send_as("a-1", client, (peer, target), request).await
}

/// Sends a request with this id until the entry process takes it.
async fn send_as(
    id: &str,
    client: &RelayClient,
    path: (&RelayPeer, &Target),
    request: impl Fn() -> Request<HttpBody> + Send + Sync,
) -> Sent {
    loop {
        match send_once_as(id, client, path, &request).await {
            Err(AttemptOutcome::RefusedByRelay) => {
                tokio::time::sleep(Duration::from_millis(50)).await;
            }
            sent => return sent,
        }
    }
}

/// Sends a request to the server of a site.
pub async fn send_to(
    site: &Site,
    client: &RelayClient,
    request: impl Fn() -> Request<HttpBody> + Send + Sync,
) -> Sent {
    send(client, &site.peer, &site.target(), request).await
}

/// Sends a request with this id to the server of a site.
pub async fn send_to_as(
    id: &str,
    site: &Site,
    client: &RelayClient,
    request: impl Fn() -> Request<HttpBody> + Send + Sync,
) -> Sent {
    send_as(id, client, (&site.peer, &site.target()), request).await
}

pub fn get() -> Request<HttpBody> {
    let request = Request::get("/reads/x?y=1").header("host", "one.example");
    request.body(HttpBody::empty()).expect("a request")
}

pub fn post(body: &'static [u8]) -> Request<HttpBody> {
    let request = Request::post("/orders/x").header("host", "one.example");
    let body = HttpBody::full(Bytes::from_static(body));
    request.body(body).expect("a request")
}

/// Reads a body to its end; `None` if it breaks off.
pub async fn read_body(response: Response<Incoming>) -> Option<Bytes> {
    let collected = tokio::time::timeout(DEADLINE, response.into_body().collect());
    let collected = collected.await.expect("an end");
    collected.ok().map(http_body_util::Collected::to_bytes)
}
