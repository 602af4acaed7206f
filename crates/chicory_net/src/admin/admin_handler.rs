//! Admin pages for the load balancer and for the operator on call.

use std::sync::Arc;

use crate::http::{AnswerFuture, HttpBody, HttpHandler};
use chicory_telemetry::Metrics;
use hyper::body::Incoming;
use hyper::header::{CONTENT_TYPE, HeaderValue};
use hyper::{Request, Response, StatusCode};

use crate::admin::Readiness;

/// Content type of the Prometheus text format.
const PROMETHEUS_TEXT: HeaderValue =
    HeaderValue::from_static("text/plain; version=0.0.4; charset=utf-8");

/// Serves `/healthz`, `/readyz` and `/metrics`.
#[derive(Clone, Debug)]
pub struct AdminHandler {
    readiness: Readiness,
    metrics: Arc<Metrics>,
}

impl HttpHandler for AdminHandler {
    fn handle(&self, request: Request<Incoming>) -> AnswerFuture {
        let answer = match request.uri().path() {
            "/healthz" => text(StatusCode::OK, "alive\n"),
            "/readyz" if self.readiness.is_ready() => text(StatusCode::OK, "ready\n"),
            "/readyz" => text(StatusCode::SERVICE_UNAVAILABLE, "not ready\n"),
            "/metrics" => self.metrics_page(),
            _ => text(StatusCode::NOT_FOUND, "pages: /healthz /readyz /metrics\n"),
        };
        Box::pin(std::future::ready(answer))
    }
}

impl AdminHandler {
    /// Creates the handler.
    #[must_use]
    pub fn new(readiness: Readiness, metrics: Arc<Metrics>) -> Self {
        Self { readiness, metrics }
    }

    fn metrics_page(&self) -> Response<HttpBody> {
        match self.metrics.render() {
            Ok(page) => {
                let mut response = Response::new(HttpBody::full(page));
                let headers = response.headers_mut();
                headers.insert(CONTENT_TYPE, PROMETHEUS_TEXT);
                response
            }
            Err(_) => text(StatusCode::INTERNAL_SERVER_ERROR, "cannot render metrics\n"),
        }
    }
}

fn text(status: StatusCode, text: &'static str) -> Response<HttpBody> {
    let mut response = Response::new(HttpBody::full(text));
    *response.status_mut() = status;
    response
}
