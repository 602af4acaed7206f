//! The process's end of all peer connections.

use std::collections::BTreeMap;
use std::net::{SocketAddr, UdpSocket};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use chicory_telemetry::Metrics;
use quinn::{EndpointConfig, Runtime, TokioRuntime, TransportConfig, VarInt};
use snafu::ResultExt;
use tokio::sync::mpsc;

use crate::NetMetric;
use crate::peer::StreamKind;
use crate::peer::faulty_socket::FaultySocket;
use crate::peer::hello::Hello;
use crate::peer::peer_error::{BindSnafu, ConnectSnafu};
use crate::peer::{
    FaultSwitch, Frame, IncomingConnection, PeerConnection, PeerError, PeerIdentity,
};
use crate::tls::{ANY_PROCESS_NAME, PeerRole, PeerTls};

/// How often an idle connection is tested.
const KEEP_ALIVE_PERIOD: Duration = Duration::from_millis(250);
/// Silence after which a connection is taken as lost.
const IDLE_TIMEOUT_MS: u32 = 1_000;
/// How long a handshake may take.
const HANDSHAKE_TIMEOUT: Duration = Duration::from_secs(1);
/// How long further attempts fail at once after a failed one.
const RECONNECT_BACKOFF: Duration = Duration::from_millis(100);
/// Relayed requests and calls that a peer may have open at a time.
///
/// Memory for all of them is taken when a connection opens, so this is bounded by what a process
/// is asked: many relays, but few calls.
const MAX_RELAYS: u32 = 16_384;
/// Calls that a peer may have open at a time at a control process.
const MAX_CALLS: u32 = 256;
/// Streams without answers that a peer may have open at a time: its identity, and messages.
const MAX_MESSAGE_STREAMS: u32 = 32;
/// Bytes in flight on one stream, the bound of what a slow reader makes a relay hold.
const STREAM_WINDOW_BYTES: u32 = 512 * 1024;
/// Bytes in flight on one connection.
const CONNECTION_WINDOW_BYTES: u32 = 16 * 1024 * 1024;
/// Accepted connections that wait to be taken.
const ACCEPT_QUEUE: usize = 64;

/// The process's end of all peer connections, on one UDP port.
///
/// Cloning gives another handle to the same endpoint.
#[derive(Clone, Debug)]
pub struct PeerEndpoint {
    inner: Arc<Inner>,
}

#[derive(Debug)]
struct Inner {
    endpoint: quinn::Endpoint,
    hello: Hello,
    cluster: String,
    metrics: Arc<Metrics>,
    peers: Mutex<BTreeMap<SocketAddr, Arc<tokio::sync::Mutex<PeerSlot>>>>,
}

#[derive(Debug, Default)]
struct PeerSlot {
    connection: Option<PeerConnection>,
    failed_at: Option<Instant>,
}

impl PeerEndpoint {
    /// Binds the UDP port and starts to accept connections, which come out of the receiver.
    ///
    /// Must be called within a tokio runtime.
    ///
    /// # Errors
    ///
    /// Fails where the port can't be bound.
    pub fn bind(
        address: SocketAddr,
        tls: &PeerTls,
        identity: &PeerIdentity,
        faults: Arc<dyn FaultSwitch>,
        metrics: Arc<Metrics>,
    ) -> Result<(Self, mpsc::Receiver<IncomingConnection>), PeerError> {
        let socket = UdpSocket::bind(address).context(BindSnafu { address })?;
        let inner = TokioRuntime
            .wrap_udp_socket(socket)
            .context(BindSnafu { address })?;
        let socket = Arc::new(FaultySocket { inner, faults });
        let transport = Arc::new(transport_config(identity.subject.role));
        let mut server_config = tls.server_config();
        server_config.transport_config(transport.clone());
        let mut endpoint = quinn::Endpoint::new_with_abstract_socket(
            EndpointConfig::default(),
            Some(server_config),
            socket,
            Arc::new(TokioRuntime),
        )
        .context(BindSnafu { address })?;
        let mut client_config = tls.client_config();
        client_config.transport_config(transport);
        endpoint.set_default_client_config(client_config);
        let inner = Arc::new(Inner {
            endpoint,
            hello: Hello::new(identity),
            cluster: identity.cluster.clone(),
            metrics,
            peers: Mutex::default(),
        });
        let (accepted, incoming) = mpsc::channel(ACCEPT_QUEUE);
        tokio::spawn(inner.clone().accept_all(accepted));
        Ok((Self { inner }, incoming))
    }

    /// The address that the endpoint is bound to.
    ///
    /// # Errors
    ///
    /// Fails where the system doesn't tell.
    pub fn local_addr(&self) -> std::io::Result<SocketAddr> {
        self.inner.endpoint.local_addr()
    }

    /// Returns the connection to a peer, and opens one where there is none that works.
    ///
    /// While an attempt is made, others wait for its result; after a failure, attempts fail at
    /// once for a short while, so that a lost peer costs nobody more than one timeout.
    ///
    /// # Errors
    ///
    /// Fails where the peer can't be reached or the certificates don't match.
    pub async fn connect(&self, address: SocketAddr) -> Result<PeerConnection, PeerError> {
        let slot = self.inner.slot(address);
        let mut slot = slot.lock().await;
        if let Some(connection) = slot.connection.as_ref().filter(|c| c.is_open()) {
            return Ok(connection.clone());
        }
        if slot
            .failed_at
            .is_some_and(|at| at.elapsed() < RECONNECT_BACKOFF)
        {
            return Err(PeerError::BackingOff { address });
        }
        match self.inner.open(address).await {
            Ok(connection) => {
                slot.failed_at = None;
                slot.connection = Some(connection.clone());
                Ok(connection)
            }
            Err(error) => {
                slot.failed_at = Some(Instant::now());
                self.inner.metrics.increment(NetMetric::PeerConnectFailures);
                self.inner.count(&error);
                Err(error)
            }
        }
    }

    /// Like [`connect`](Self::connect), for an address given as text.
    ///
    /// # Errors
    ///
    /// Fails for a text that is no address, and as [`connect`](Self::connect) does.
    pub async fn connect_to(&self, address: &str) -> Result<PeerConnection, PeerError> {
        match address.parse() {
            Ok(address) => self.connect(address).await,
            Err(_) => Err(PeerError::BadAddress {
                text: address.to_owned(),
            }),
        }
    }

    /// Closes all connections and waits, briefly, until the peers have been told.
    pub async fn close(&self) {
        self.inner.endpoint.close(VarInt::from_u32(0), b"stopped");
        let _ = tokio::time::timeout(HANDSHAKE_TIMEOUT, self.inner.endpoint.wait_idle()).await;
    }
}

impl Inner {
    fn slot(&self, address: SocketAddr) -> Arc<tokio::sync::Mutex<PeerSlot>> {
        let mut peers = self.peers.lock().unwrap_or_else(PoisonError::into_inner);
        peers.entry(address).or_default().clone()
    }

    async fn open(&self, address: SocketAddr) -> Result<PeerConnection, PeerError> {
        let connecting = self
            .endpoint
            .connect(address, ANY_PROCESS_NAME)
            .context(ConnectSnafu { address })?;
        let connection = within(HANDSHAKE_TIMEOUT, connecting)
            .await?
            .map_err(PeerError::from_connection)?;
        let connection = PeerConnection::new(connection, self.metrics.clone());
        let mut stream = connection.open_uni(StreamKind::Hello).await?;
        Frame::write(&mut stream, &self.hello).await?;
        self.metrics.increment(NetMetric::PeerConnections);
        Ok(connection)
    }

    async fn accept_all(self: Arc<Self>, accepted: mpsc::Sender<IncomingConnection>) {
        let endpoint = self.endpoint.clone();
        // The endpoint must not keep itself alive through its own accept loop.
        let inner = Arc::downgrade(&self);
        drop(self);
        while let Some(incoming) = endpoint.accept().await {
            let Some(inner) = inner.upgrade() else {
                return;
            };
            let accepted = accepted.clone();
            tokio::spawn(async move {
                match inner.accept(incoming).await {
                    Ok(incoming) => {
                        inner.metrics.increment(NetMetric::PeerConnections);
                        let _ = accepted.send(incoming).await;
                    }
                    Err(error) => inner.count(&error),
                }
            });
        }
    }

    async fn accept(&self, incoming: quinn::Incoming) -> Result<IncomingConnection, PeerError> {
        let connection = within(HANDSHAKE_TIMEOUT, incoming.into_future())
            .await?
            .map_err(PeerError::from_connection)?;
        let connection = PeerConnection::new(connection, self.metrics.clone());
        let hello = within(HANDSHAKE_TIMEOUT, connection.read_hello()).await??;
        match hello.verify(connection.quic(), &self.cluster) {
            Ok(identity) => Ok(IncomingConnection {
                identity,
                connection,
            }),
            Err(error) => {
                connection.close(b"identity");
                Err(error)
            }
        }
    }

    fn count(&self, error: &PeerError) {
        if let Some(metric) = error.metric() {
            self.metrics.increment(metric);
        }
    }
}

pub(crate) async fn within<T>(
    timeout: Duration,
    work: impl Future<Output = T>,
) -> Result<T, PeerError> {
    tokio::time::timeout(timeout, work)
        .await
        .map_err(|_| PeerError::TimedOut { timeout })
}

fn transport_config(role: PeerRole) -> TransportConfig {
    let max_questions = match role {
        PeerRole::Control => MAX_CALLS,
        _ => MAX_RELAYS,
    };
    let mut config = TransportConfig::default();
    config
        .keep_alive_interval(Some(KEEP_ALIVE_PERIOD))
        .max_idle_timeout(Some(VarInt::from_u32(IDLE_TIMEOUT_MS).into()))
        .max_concurrent_bidi_streams(max_questions.into())
        .max_concurrent_uni_streams(MAX_MESSAGE_STREAMS.into())
        .stream_receive_window(STREAM_WINDOW_BYTES.into())
        .receive_window(CONNECTION_WINDOW_BYTES.into());
    config
}
