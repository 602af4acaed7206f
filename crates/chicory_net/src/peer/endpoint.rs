//! The local QUIC endpoint of all peer connections of a process.

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

/// Interval of keep-alive packets on an idle connection.
const KEEP_ALIVE_PERIOD: Duration = Duration::from_millis(250);
/// Time without packets from the peer after which a connection is lost.
const IDLE_TIMEOUT_MS: u32 = 1_000;
/// Timeout of a handshake.
const HANDSHAKE_TIMEOUT: Duration = Duration::from_secs(1);
/// Time after a failed connection attempt during which further attempts fail at once.
const RECONNECT_BACKOFF: Duration = Duration::from_millis(100);
/// Maximum number of relayed requests and calls that a peer may have open at a time.
///
/// Memory for all of them is allocated when a connection is opened, so the limit depends on the
/// role of the process: entry processes receive many relays, control processes only few calls.
const MAX_RELAYS: u32 = 16_384;
/// Maximum number of calls that a peer may have open at a time at a control process.
const MAX_CALLS: u32 = 256;
/// Maximum number of unidirectional streams that a peer may have open at a time: its hello and
/// its messages.
const MAX_MESSAGE_STREAMS: u32 = 32;
/// Maximum bytes in flight on one stream; it limits what a relay buffers for a slow reader.
const STREAM_WINDOW_BYTES: u32 = 512 * 1024;
/// Maximum bytes in flight on one connection.
const CONNECTION_WINDOW_BYTES: u32 = 16 * 1024 * 1024;
/// Maximum number of accepted connections that wait to be received from the channel.
const ACCEPT_QUEUE_LEN: usize = 64;

/// The local QUIC endpoint of all peer connections of a process, on one UDP port.
///
/// Clones are handles to the same endpoint.
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
    peers: Mutex<BTreeMap<SocketAddr, Arc<tokio::sync::Mutex<PeerState>>>>,
}

/// The connection to one peer, or the time of the last failed attempt to open it.
#[derive(Debug, Default)]
struct PeerState {
    connection: Option<PeerConnection>,
    failed_at: Option<Instant>,
}

impl PeerEndpoint {
    /// Binds the UDP port and starts to accept connections.
    ///
    /// The returned receiver yields the accepted connections.
    ///
    /// Must be called within a tokio runtime.
    ///
    /// # Errors
    ///
    /// Returns an error if the port can't be bound.
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
        let (accepted, incoming) = mpsc::channel(ACCEPT_QUEUE_LEN);
        tokio::spawn(inner.clone().accept_all(accepted));
        Ok((Self { inner }, incoming))
    }

    /// Returns the address that the endpoint is bound to.
    ///
    /// # Errors
    ///
    /// Returns an error if the operating system doesn't report the address.
    pub fn local_addr(&self) -> std::io::Result<SocketAddr> {
        self.inner.endpoint.local_addr()
    }

    /// Returns the open connection to a peer, or opens one if there is none.
    ///
    /// Concurrent calls wait for the result of one attempt. After a failure, further attempts fail
    /// at once for a short time, so that an unreachable peer delays no caller by more than one
    /// timeout.
    ///
    /// # Errors
    ///
    /// Returns an error if the peer can't be reached or a certificate is rejected.
    pub async fn connect(&self, address: SocketAddr) -> Result<PeerConnection, PeerError> {
        let peer_state = self.inner.peer_state(address);
        let mut peer_state = peer_state.lock().await;
        if let Some(connection) = peer_state.connection.as_ref().filter(|c| c.is_open()) {
            return Ok(connection.clone());
        }
        if peer_state
            .failed_at
            .is_some_and(|at| at.elapsed() < RECONNECT_BACKOFF)
        {
            return Err(PeerError::BackingOff { address });
        }
        match self.inner.open(address).await {
            Ok(connection) => {
                peer_state.failed_at = None;
                peer_state.connection = Some(connection.clone());
                Ok(connection)
            }
            Err(error) => {
                peer_state.failed_at = Some(Instant::now());
                self.inner.metrics.increment(NetMetric::PeerConnectFailures);
                self.inner.count_error(&error);
                Err(error)
            }
        }
    }

    /// Returns the connection to a peer, like [`connect`](Self::connect), for an address as text.
    ///
    /// # Errors
    ///
    /// Returns an error if the text isn't an address, or for the reasons of
    /// [`connect`](Self::connect).
    pub async fn connect_to(&self, address: &str) -> Result<PeerConnection, PeerError> {
        match address.parse() {
            Ok(address) => self.connect(address).await,
            Err(_) => Err(PeerError::BadAddress {
                text: address.to_owned(),
            }),
        }
    }

    /// Closes all connections and waits until the peers are notified, but only for a short time.
    pub async fn close(&self) {
        self.inner.endpoint.close(VarInt::from_u32(0), b"stopped");
        let _ = tokio::time::timeout(HANDSHAKE_TIMEOUT, self.inner.endpoint.wait_idle()).await;
    }
}

impl Inner {
    fn peer_state(&self, address: SocketAddr) -> Arc<tokio::sync::Mutex<PeerState>> {
        let mut peers = self.peers.lock().unwrap_or_else(PoisonError::into_inner);
        peers.entry(address).or_default().clone()
    }

    async fn open(&self, address: SocketAddr) -> Result<PeerConnection, PeerError> {
        let connecting = self
            .endpoint
            .connect(address, ANY_PROCESS_NAME)
            .context(ConnectSnafu { address })?;
        let connection = with_timeout(HANDSHAKE_TIMEOUT, connecting)
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
        // A strong reference in this task would keep the endpoint alive after its last handle is
        // dropped.
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
                    Err(error) => inner.count_error(&error),
                }
            });
        }
    }

    async fn accept(&self, incoming: quinn::Incoming) -> Result<IncomingConnection, PeerError> {
        let connection = with_timeout(HANDSHAKE_TIMEOUT, incoming.into_future())
            .await?
            .map_err(PeerError::from_connection)?;
        let connection = PeerConnection::new(connection, self.metrics.clone());
        let hello = with_timeout(HANDSHAKE_TIMEOUT, connection.read_hello()).await??;
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

    fn count_error(&self, error: &PeerError) {
        if let Some(metric) = error.metric() {
            self.metrics.increment(metric);
        }
    }
}

/// Returns the output of a future, or [`PeerError::TimedOut`] if it isn't ready in time.
pub(crate) async fn with_timeout<T>(
    timeout: Duration,
    work: impl Future<Output = T>,
) -> Result<T, PeerError> {
    tokio::time::timeout(timeout, work)
        .await
        .map_err(|_| PeerError::TimedOut { timeout })
}

/// Returns the QUIC settings of a process of the given role.
fn transport_config(role: PeerRole) -> TransportConfig {
    let max_bidi_streams = match role {
        PeerRole::Control => MAX_CALLS,
        _ => MAX_RELAYS,
    };
    let mut config = TransportConfig::default();
    config
        .keep_alive_interval(Some(KEEP_ALIVE_PERIOD))
        .max_idle_timeout(Some(VarInt::from_u32(IDLE_TIMEOUT_MS).into()))
        .max_concurrent_bidi_streams(max_bidi_streams.into())
        .max_concurrent_uni_streams(MAX_MESSAGE_STREAMS.into())
        .stream_receive_window(STREAM_WINDOW_BYTES.into())
        .receive_window(CONNECTION_WINDOW_BYTES.into());
    config
}
