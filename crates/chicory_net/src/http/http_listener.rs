//! A listener for HTTP requests.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::pin::pin;
use std::sync::Arc;
use std::time::Duration;

use chicory_telemetry::Metrics;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::JoinSet;

use crate::NetMetric;
use crate::http::{HttpHandler, HttpLimits};

/// Pause after a failed accept, such as for want of file descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(10);

/// A listener for HTTP requests.
#[derive(Debug)]
pub struct HttpListener {
    listener: TcpListener,
}

/// What the connections of a listener share.
#[derive(Clone)]
struct Shared {
    handler: Arc<dyn HttpHandler>,
    limits: HttpLimits,
    stop: watch::Receiver<bool>,
    metrics: Arc<Metrics>,
}

impl HttpListener {
    /// Binds the address.
    ///
    /// # Errors
    ///
    /// Fails where the address can't be bound.
    pub async fn bind(address: SocketAddr) -> std::io::Result<Self> {
        let listener = TcpListener::bind(address).await?;
        Ok(Self { listener })
    }

    /// The address that the listener is bound to.
    ///
    /// # Errors
    ///
    /// Fails where the system doesn't tell.
    pub fn local_addr(&self) -> std::io::Result<SocketAddr> {
        self.listener.local_addr()
    }

    /// Serves requests until `stop` turns `true`, then lets every request in flight end.
    pub async fn serve(
        self,
        handler: Arc<dyn HttpHandler>,
        limits: HttpLimits,
        mut stop: watch::Receiver<bool>,
        metrics: Arc<Metrics>,
    ) {
        let shared = Shared {
            handler,
            limits,
            stop: stop.clone(),
            metrics,
        };
        let mut connections = JoinSet::new();
        loop {
            tokio::select! {
                accepted = self.listener.accept() => match accepted {
                    Ok((stream, _)) => shared.start(stream, &mut connections),
                    Err(_) => tokio::time::sleep(ACCEPT_PAUSE).await,
                },
                Some(_) = connections.join_next() => {}
                () = stopped(&mut stop) => break,
            }
        }
        drop(self.listener);
        while connections.join_next().await.is_some() {}
    }
}

impl Shared {
    fn start(&self, stream: TcpStream, connections: &mut JoinSet<()>) {
        if connections.len() >= self.limits.max_connections {
            self.metrics.increment(NetMetric::RefusedCallers);
            return;
        }
        let _ = stream.set_nodelay(true);
        connections.spawn(self.clone().serve(stream));
    }

    async fn serve(mut self, stream: TcpStream) {
        let handler = self.handler;
        let service = service_fn(move |request| {
            let answer = handler.handle(request);
            async move { Ok::<_, Infallible>(answer.await) }
        });
        let connection = http1::Builder::new()
            .timer(TokioTimer::new())
            .header_read_timeout(self.limits.head_timeout)
            .max_header_size(self.limits.max_head_bytes)
            .serve_connection(TokioIo::new(stream), service);
        let mut connection = pin!(connection);
        let ended = tokio::select! {
            ended = connection.as_mut() => ended,
            () = stopped(&mut self.stop) => {
                connection.as_mut().graceful_shutdown();
                connection.await
            }
        };
        if let Some(metric) = ended.err().and_then(|error| head_metric(&error)) {
            self.metrics.increment(metric);
        }
    }
}

/// Waits for the stop, or for the end of whoever could ask for it.
async fn stopped(stop: &mut watch::Receiver<bool>) {
    let _ = stop.wait_for(|stop| *stop).await;
}

fn head_metric(error: &hyper::Error) -> Option<NetMetric> {
    if error.is_parse_too_large() {
        Some(NetMetric::OversizedHeads)
    } else if error.is_parse() {
        Some(NetMetric::MalformedHeads)
    } else {
        None
    }
}
