//! A listener for HTTP requests.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::pin::pin;
use std::sync::Arc;
use std::time::Duration;

use chicory_policy::{ConnectionState, ListenerId};
use chicory_telemetry::Metrics;
use chicory_types::BootClock;
use hyper::body::{Body, Incoming};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response};
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::JoinSet;

use crate::NetMetric;
use crate::http::client_stream::ClientStream;
use crate::http::connection_share::{ConnectionShare, MAX_BUFFER_BYTES};
use crate::http::peer_liveness::set_probes;
use crate::http::{ClientBudget, HttpBody, HttpHandler, HttpLimits};

/// Pause after a failed accept, for example if no file descriptors are left.
const ACCEPT_PAUSE: Duration = Duration::from_millis(10);
/// Memory for the connections of a listener without a budget, in bytes.
const DEFAULT_BUDGET_BYTES: u64 = 128 * 1024 * 1024;

/// A listener for HTTP requests.
#[derive(Debug)]
pub struct HttpListener {
    listener: TcpListener,
    options: ConnectionOptions,
    budget: Option<ClientBudget>,
}

/// Options of the connections of a listener.
#[derive(Clone, Copy, Debug, Default)]
struct ConnectionOptions {
    /// Maximum number of headers of a request; `None` for that of the HTTP library.
    max_headers: Option<usize>,
    /// Whether silent connections are probed.
    has_probes: bool,
}

/// State shared by the connections of a listener.
#[derive(Clone)]
struct SharedState {
    handler: Arc<dyn HttpHandler>,
    limits: HttpLimits,
    options: ConnectionOptions,
    stop: watch::Receiver<bool>,
    metrics: Arc<Metrics>,
    budget: ClientBudget,
    id: ListenerId,
}

impl HttpListener {
    /// Creates a listener that is bound to the address.
    ///
    /// # Errors
    ///
    /// Returns an error if the address can't be bound.
    pub async fn bind(address: SocketAddr) -> std::io::Result<Self> {
        let listener = TcpListener::bind(address).await?;
        Ok(Self {
            listener,
            options: ConnectionOptions::default(),
            budget: None,
        })
    }

    /// Sets the budget of the connections, which other listeners may share.
    #[must_use]
    pub fn with_budget(mut self, budget: ClientBudget) -> Self {
        self.budget = Some(budget);
        self
    }

    /// Sets the maximum number of headers of a request.
    #[must_use]
    pub fn with_max_headers(mut self, max_headers: usize) -> Self {
        self.options.max_headers = Some(max_headers);
        self
    }

    /// Closes connections whose other end has vanished from the network while nothing is sent.
    #[must_use]
    pub fn with_probes(mut self) -> Self {
        self.options.has_probes = true;
        self
    }

    /// Returns the address that the listener is bound to.
    ///
    /// # Errors
    ///
    /// Returns an error if the operating system doesn't report the address.
    pub fn local_addr(&self) -> std::io::Result<SocketAddr> {
        self.listener.local_addr()
    }

    /// Serves requests until `stop` becomes `true`, then waits until every request in flight is
    /// complete.
    pub async fn serve(
        self,
        handler: Arc<dyn HttpHandler>,
        limits: HttpLimits,
        mut stop: watch::Receiver<bool>,
        metrics: Arc<Metrics>,
    ) {
        let budget = self.budget.unwrap_or_else(|| {
            ClientBudget::new(DEFAULT_BUDGET_BYTES, Arc::new(BootClock), metrics.clone())
        });
        let shared = SharedState {
            handler,
            limits,
            options: self.options,
            stop: stop.clone(),
            metrics,
            id: budget.add_listener(),
            budget,
        };
        let mut connections = JoinSet::new();
        loop {
            tokio::select! {
                accepted = self.listener.accept() => match accepted {
                    Ok((stream, _)) => shared.start(stream, &mut connections),
                    Err(_) => tokio::time::sleep(ACCEPT_PAUSE).await,
                },
                Some(_) = connections.join_next() => {}
                () = wait_for_stop(&mut stop) => break,
            }
        }
        drop(self.listener);
        while connections.join_next().await.is_some() {}
    }
}

impl SharedState {
    /// Serves a connection in a task of its own, or closes it if there is no room for it.
    fn start(&self, stream: TcpStream, connections: &mut JoinSet<()>) {
        let Some(share) = self.budget.open(self.id, self.limits.max_connections) else {
            self.metrics.increment(NetMetric::RefusedCallers);
            return;
        };
        let _ = stream.set_nodelay(true);
        if self.options.has_probes {
            // Without probes the connection still works, only its loss is noticed later.
            let _ = set_probes(&stream);
        }
        connections.spawn(self.clone().serve(stream, share));
    }

    /// Serves a connection until it is closed; after `stop`, only the request in flight.
    async fn serve(mut self, stream: TcpStream, share: ConnectionShare) {
        let handler = self.handler;
        let service_share = share.clone();
        let service = service_fn(move |request| {
            let answer = answer(handler.clone(), request, service_share.clone());
            async move { Ok::<_, Infallible>(answer.await) }
        });
        let mut builder = http1::Builder::new();
        builder
            .timer(TokioTimer::new())
            .header_read_timeout(self.limits.head_timeout)
            .max_header_size(self.limits.max_head_bytes)
            .max_buf_size(self.limits.max_head_bytes.max(MAX_BUFFER_BYTES));
        if let Some(max_headers) = self.options.max_headers {
            builder.max_headers(max_headers);
        }
        let stream = ClientStream::new(stream, share.clone());
        let connection = builder.serve_connection(TokioIo::new(stream), service);
        let mut connection = pin!(connection);
        let served = async {
            tokio::select! {
                ended = connection.as_mut() => ended,
                () = wait_for_stop(&mut self.stop) => {
                    connection.as_mut().graceful_shutdown();
                    connection.await
                }
            }
        };
        let ended = tokio::select! {
            ended = served => ended,
            () = share.closed() => Ok(()),
        };
        share.close();
        if let Some(metric) = ended.err().and_then(|error| head_metric(&error)) {
            self.metrics.increment(metric);
        }
    }
}

/// Answers a request and records on its connection what that occupies.
async fn answer(
    handler: Arc<dyn HttpHandler>,
    mut request: Request<Incoming>,
    share: ConnectionShare,
) -> Response<HttpBody> {
    share.set_state(if request.body().is_end_stream() {
        ConnectionState::Serving
    } else {
        ConnectionState::Receiving
    });
    request.extensions_mut().insert(share.clone());
    let response = handler.handle(request).await;
    share.set_state(ConnectionState::Answering);
    if !share.set_content(response.body().held_bytes()) {
        share.abort();
    }
    response.map(|body| body.with_connection(share))
}

/// Waits until `stop` becomes `true` or its sender is dropped.
async fn wait_for_stop(stop: &mut watch::Receiver<bool>) {
    let _ = stop.wait_for(|stop| *stop).await;
}

/// Returns the counter of an error in a request head, if it is one.
fn head_metric(error: &hyper::Error) -> Option<NetMetric> {
    if error.is_parse_too_large() {
        Some(NetMetric::OversizedHeads)
    } else if error.is_parse() {
        Some(NetMetric::MalformedHeads)
    } else {
        None
    }
}
