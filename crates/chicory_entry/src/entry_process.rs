//! Starts and stops the entry process with all its listeners.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, SystemTime};

use chicory_dispatch::{Event, RequestPath, RequestPathConfig};
use chicory_net::http::{HttpHandler, HttpLimits, HttpListener};
use chicory_net::peer::{
    CallStream, FaultFile, FaultSwitch, IncomingConnection, NoFaults, PeerConnection, PeerEndpoint,
    PeerIdentity, PeerStream,
};
use chicory_net::tls::{PeerRole, PeerTls, Subject};
use chicory_telemetry::Metrics;
use chicory_trace::{EventTrace, NoTrace, TraceWriter, TracedProcess};
use chicory_types::{Clock, MonoTime, SystemClock};
use chicory_wire::proto::peer::reply::Reply as ReplyKind;
use chicory_wire::proto::peer::{Call, CallError, Reply};
use slog::{Logger, info};
use snafu::ResultExt;
use tokio::sync::mpsc::{self, UnboundedReceiver};
use tokio::sync::watch;
use tokio::task::JoinHandle;
use uuid::Uuid;

use crate::announce::AnnounceHandler;
use crate::caller::CallerHandler;
use crate::core_loop::{CoreLoop, CoreParts};
use crate::entry_error::{EntryError, ListenSnafu, TraceSnafu};
use crate::inbox::Inbox;
use crate::input::Input;
use crate::relay::RelayServer;
use crate::request_ids::RequestIds;
use crate::settings::EntrySettings;
use crate::zone::ZoneClient;
use chicory_net::admin::{AdminHandler, Readiness};

/// Limits of the listeners for announcements and admin pages.
const INTERNAL_LIMITS: HttpLimits = HttpLimits::INTERNAL;
/// How long open connections and tasks may take to finish after the core loop has ended.
const SHUTDOWN_TIMEOUT: Duration = Duration::from_secs(10);

/// Addresses that the process is bound to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EntryAddresses {
    /// For callers.
    pub callers: SocketAddr,
    /// For announcements of backend servers.
    pub announcements: SocketAddr,
    /// For the admin pages.
    pub admin: SocketAddr,
    /// For other processes of the cluster.
    pub peers: SocketAddr,
}

/// The entry process with all its listeners bound.
#[derive(Debug)]
pub struct EntryProcess {
    addresses: EntryAddresses,
    inbox: Inbox,
    readiness: Readiness,
    stop_delay: Duration,
    core: JoinHandle<()>,
    listeners: Vec<JoinHandle<()>>,
    peers: PeerEndpoint,
    stop_callers: Arc<watch::Sender<bool>>,
    stop_internal: watch::Sender<bool>,
    tasks_ended: mpsc::Receiver<()>,
}

/// What the parts of the process share while they are started.
struct Startup {
    settings: EntrySettings,
    logger: Logger,
    metrics: Arc<Metrics>,
    inbox: Inbox,
    ids: Arc<RequestIds>,
    readiness: Readiness,
    callers_stop: watch::Receiver<bool>,
    internal_stop: watch::Receiver<bool>,
    task_guard: mpsc::Sender<()>,
}

impl EntryProcess {
    /// Binds all listeners and starts to serve requests. Must be called within a tokio runtime.
    ///
    /// # Errors
    ///
    /// Fails if the certificates can't be used, an address can't be bound, the trace file can't be
    /// created or the metrics can't be set up.
    pub async fn start(settings: EntrySettings, logger: Logger) -> Result<Self, EntryError> {
        let (inbox, inputs) = Inbox::new();
        let (stop_callers, callers_stop) = watch::channel(false);
        let (stop_internal, internal_stop) = watch::channel(false);
        let (guard_sender, tasks_ended) = mpsc::channel(1);
        let startup = Startup {
            settings,
            logger,
            metrics: Arc::new(Metrics::new()?),
            inbox: inbox.clone(),
            ids: Arc::new(RequestIds::new()),
            readiness: Readiness::default(),
            callers_stop,
            internal_stop,
            task_guard: guard_sender,
        };
        let (peers, incoming) = startup.bind_peers()?;
        let (callers, announcements, admin) = startup.bind_http().await?;
        let addresses = EntryAddresses {
            callers: bound_address(&callers, startup.settings.listen)?,
            announcements: bound_address(&announcements, startup.settings.announce_listen)?,
            admin: bound_address(&admin, startup.settings.admin_listen)?,
            peers: peers.local_addr().context(ListenSnafu {
                address: startup.settings.peer_listen,
            })?,
        };
        info!(startup.logger, "listening"; "callers" => %addresses.callers,
            "announcements" => %addresses.announcements, "admin" => %addresses.admin,
            "peers" => %addresses.peers);
        let core = startup.start_core(addresses, peers.clone(), inputs)?;
        startup.start_peers(incoming);
        let listeners = startup.start_http(callers, announcements, admin);
        Ok(Self {
            addresses,
            inbox,
            readiness: startup.readiness.clone(),
            stop_delay: startup.settings.stop_delay,
            core,
            listeners,
            peers,
            stop_callers: Arc::new(stop_callers),
            stop_internal,
            tasks_ended,
        })
    }

    /// Returns the addresses that the process is bound to.
    #[must_use]
    pub fn addresses(&self) -> EntryAddresses {
        self.addresses
    }

    /// Requests a stop of the process, which aborts no request in flight.
    ///
    /// The process reports at once that it is not ready. For the stop delay it continues to serve
    /// requests and closes the connection after each answer, so that the balancer and callers with
    /// open connections move to other processes. Then it closes the listener for callers and
    /// finishes the requests in flight.
    pub fn request_stop(&self) {
        self.readiness.begin_stop();
        let inbox = self.inbox.clone();
        let delay = self.stop_delay;
        let stop_callers = self.stop_callers.clone();
        tokio::spawn(async move {
            tokio::time::sleep(delay).await;
            // Callers that continue to send requests must not prevent the process from stopping.
            let _ = stop_callers.send(true);
            inbox.send_event(Event::StopRequested);
        });
    }

    /// Waits until the process has stopped.
    pub async fn stopped(mut self) {
        let _ = self.core.await;
        let _ = self.stop_internal.send(true);
        let _ = tokio::time::timeout(SHUTDOWN_TIMEOUT, async {
            for listener in self.listeners {
                let _ = listener.await;
            }
            // Nothing is ever sent: the loop ends once every task that holds a sender has ended.
            while self.tasks_ended.recv().await.is_some() {}
        })
        .await;
        self.peers.close().await;
    }
}

fn bound_address(listener: &HttpListener, address: SocketAddr) -> Result<SocketAddr, EntryError> {
    listener.local_addr().context(ListenSnafu { address })
}

impl Startup {
    fn bind_peers(&self) -> Result<(PeerEndpoint, mpsc::Receiver<IncomingConnection>), EntryError> {
        let settings = &self.settings;
        let tls = PeerTls::load(&settings.tls)?;
        let identity = PeerIdentity {
            subject: Subject::new(PeerRole::Entry, &settings.vm),
            cluster: settings.cluster.clone(),
            zone: settings.zone.clone(),
        };
        let faults: Arc<dyn FaultSwitch> = match &settings.fault_file {
            Some(path) => FaultFile::follow(path.clone()),
            None => Arc::new(NoFaults),
        };
        let metrics = self.metrics.clone();
        let address = settings.peer_listen;
        Ok(PeerEndpoint::bind(
            address, &tls, &identity, faults, metrics,
        )?)
    }

    async fn bind_http(&self) -> Result<(HttpListener, HttpListener, HttpListener), EntryError> {
        let settings = &self.settings;
        Ok((
            listen(settings.listen).await?,
            listen(settings.announce_listen).await?,
            listen(settings.admin_listen).await?,
        ))
    }

    fn start_core(
        &self,
        addresses: EntryAddresses,
        peers: PeerEndpoint,
        inputs: UnboundedReceiver<Input>,
    ) -> Result<JoinHandle<()>, EntryError> {
        let clock: Arc<dyn Clock + Send + Sync> = Arc::new(SystemClock::new());
        let config = self.path_config(addresses, clock.wall());
        let started_at = clock.now();
        let core = CoreLoop::new(CoreParts {
            trace: self.open_trace(started_at, &config)?,
            path: RequestPath::new(config, started_at),
            clock,
            inbox: self.inbox.clone(),
            zone_name: self.settings.zone.clone(),
            zone: ZoneClient::new(peers.clone(), self.settings.control.clone()),
            peers,
            readiness: self.readiness.clone(),
            metrics: self.metrics.clone(),
            logger: self.logger.clone(),
            task_guard: self.task_guard.clone(),
        });
        Ok(tokio::spawn(core.run(inputs)))
    }

    fn open_trace(
        &self,
        started_at: MonoTime,
        config: &RequestPathConfig,
    ) -> Result<Box<dyn EventTrace<Event> + Send>, EntryError> {
        match &self.settings.trace_file {
            Some(path) => {
                let writer = TraceWriter::create(path, TracedProcess::Entry, started_at, config)
                    .context(TraceSnafu)?;
                Ok(Box::new(writer))
            }
            None => Ok(Box::new(NoTrace)),
        }
    }

    fn path_config(&self, addresses: EntryAddresses, wall: SystemTime) -> RequestPathConfig {
        let settings = &self.settings;
        let since_epoch = wall.duration_since(SystemTime::UNIX_EPOCH);
        let since_epoch = since_epoch.unwrap_or_default();
        let (seed, _) = Uuid::new_v4().as_u64_pair();
        RequestPathConfig::builder(&settings.vm, &settings.zone)
            .incarnation(u64::try_from(since_epoch.as_micros()).unwrap_or(u64::MAX))
            .peer_address(addresses.peers.to_string())
            .announce_address(addresses.announcements.to_string())
            .renew_interval(settings.renew_interval)
            .server_lease(settings.server_lease)
            .retry_share(f64::from(settings.retry_percent) / 100.0)
            .max_requests(settings.max_requests)
            .seed(seed)
            .build()
    }

    fn start_http(
        &self,
        callers: HttpListener,
        announcements: HttpListener,
        admin: HttpListener,
    ) -> Vec<JoinHandle<()>> {
        let caller_handler = CallerHandler {
            inbox: self.inbox.clone(),
            ids: self.ids.clone(),
            max_buffered_bytes: self.settings.max_buffered_bytes,
            readiness: self.readiness.clone(),
        };
        let announce_handler = AnnounceHandler {
            inbox: self.inbox.clone(),
        };
        let admin_handler = AdminHandler::new(self.readiness.clone(), self.metrics.clone());
        let limits = self.settings.caller_limits;
        let internal_stop = &self.internal_stop;
        vec![
            self.serve(callers, caller_handler, limits, &self.callers_stop),
            self.serve(
                announcements,
                announce_handler,
                INTERNAL_LIMITS,
                internal_stop,
            ),
            self.serve(admin, admin_handler, INTERNAL_LIMITS, internal_stop),
        ]
    }

    fn serve(
        &self,
        listener: HttpListener,
        handler: impl HttpHandler + 'static,
        limits: HttpLimits,
        stop: &watch::Receiver<bool>,
    ) -> JoinHandle<()> {
        let handler = Arc::new(handler);
        let metrics = self.metrics.clone();
        tokio::spawn(listener.serve(handler, limits, stop.clone(), metrics))
    }

    fn start_peers(&self, mut incoming: mpsc::Receiver<IncomingConnection>) {
        let server = RelayServer {
            inbox: self.inbox.clone(),
            ids: self.ids.clone(),
            max_buffered_bytes: self.settings.max_buffered_bytes,
            task_guard: self.task_guard.downgrade(),
        };
        tokio::spawn(async move {
            while let Some(incoming) = incoming.recv().await {
                let is_entry = incoming.identity.subject.role == PeerRole::Entry;
                let server = is_entry.then(|| server.clone());
                tokio::spawn(serve_peer(incoming.connection, server));
            }
        });
    }
}

/// Serves the streams that another process opens. `server` is set for entry processes, because only
/// these may relay requests.
async fn serve_peer(connection: PeerConnection, server: Option<RelayServer>) {
    while let Ok(stream) = connection.accept().await {
        match (stream, &server) {
            (PeerStream::Relay(stream), Some(server)) => {
                tokio::spawn(server.clone().serve(stream));
            }
            (PeerStream::Call(call), _) => {
                tokio::spawn(refuse_call(call));
            }
            (PeerStream::Relay(_) | PeerStream::Messages(_), _) => {}
        }
    }
}

/// Answers a call with an error, because an entry process serves no calls.
async fn refuse_call(mut call: CallStream) {
    let error = match call.read::<Call>().await {
        Ok(_) => CallError::WrongProcess,
        Err(_) => CallError::Malformed,
    };
    let reply = ReplyKind::Error(error.into());
    let reply = Reply { reply: Some(reply) };
    let _ = call.reply(&reply).await;
}

async fn listen(address: SocketAddr) -> Result<HttpListener, EntryError> {
    HttpListener::bind(address)
        .await
        .context(ListenSnafu { address })
}
