//! A backend server whose answers are set by the test.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use chicory_net::http::{AnswerFuture, HttpBody, HttpHandler, HttpLimits, HttpListener};
use chicory_ownership::ServerRecord;
use chicory_telemetry::Metrics;
use hyper::body::Incoming;
use hyper::{Request, Response};
use tokio::sync::watch;

use super::{ZONE, any_port};

const LIMITS: HttpLimits = HttpLimits {
    max_head_bytes: 65_536,
    max_connections: 1_000,
    head_timeout: Duration::from_mins(10),
};

type Behaviour = dyn Fn(Request<Incoming>) -> AnswerFuture + Send + Sync;

/// A backend server whose answers are set by the test.
pub struct FakeServer {
    pub address: SocketAddr,
    _stop: watch::Sender<bool>,
}

struct Handler {
    behaviour: Box<Behaviour>,
}

impl HttpHandler for Handler {
    fn handle(&self, request: Request<Incoming>) -> AnswerFuture {
        if request.uri().path() == "/.chicory/health" {
            let health = r#"{"healthy":true,"load":0.1,"in_flight":0}"#;
            return Box::pin(std::future::ready(Response::new(HttpBody::full(health))));
        }
        (self.behaviour)(request)
    }
}

impl FakeServer {
    pub async fn start<F>(
        behaviour: impl Fn(Request<Incoming>) -> F + Send + Sync + 'static,
    ) -> Self
    where
        F: Future<Output = Response<HttpBody>> + Send + 'static,
    {
        let listener = HttpListener::bind(any_port()).await.expect("a port");
        let address = listener.local_addr().expect("an address");
        let (stop, stopped) = watch::channel(false);
        let handler = Arc::new(Handler {
            behaviour: Box::new(move |request| Box::pin(behaviour(request))),
        });
        let metrics = Arc::new(Metrics::new().expect("metrics"));
        tokio::spawn(listener.serve(handler, LIMITS, stopped, metrics));
        Self {
            address,
            _stop: stop,
        }
    }

    /// Returns the record that the server would announce.
    pub fn record(&self, server: &str, service: &str) -> ServerRecord {
        record(server, service, self.address)
    }
}

pub fn record(server: &str, service: &str, address: SocketAddr) -> ServerRecord {
    ServerRecord {
        server: server.to_owned(),
        service: service.to_owned(),
        address: address.to_string(),
        zone: ZONE.to_owned(),
        slots: 4,
        connections: 16,
        incarnation: 1,
        checks_grants: false,
        draining: false,
    }
}
