//! Answers announcements of backend servers.

use chicory_net::http::{AnswerFuture, HttpBody, HttpHandler};
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use hyper::header::{CONTENT_TYPE, HeaderValue};
use hyper::{Method, Request, Response, StatusCode};
use serde::Serialize;
use tokio::sync::oneshot;

use crate::announce::announce_message::{AnnounceAnswer, AnnounceRefusal, AnnounceRequest};
use crate::inbox::Inbox;
use crate::input::Input;

/// Path of announcements.
const ANNOUNCE_PATH: &str = "/.chicory/announce";
/// Longest announcement.
const MAX_ANNOUNCEMENT_BYTES: usize = 16 * 1024;

/// Answers announcements of backend servers.
#[derive(Clone, Debug)]
pub(crate) struct AnnounceHandler {
    pub(crate) inbox: Inbox,
}

impl HttpHandler for AnnounceHandler {
    fn handle(&self, request: Request<Incoming>) -> AnswerFuture {
        Box::pin(self.clone().answer(request))
    }
}

impl AnnounceHandler {
    async fn answer(self, request: Request<Incoming>) -> Response<HttpBody> {
        if request.uri().path() != ANNOUNCE_PATH {
            return refused(
                StatusCode::NOT_FOUND,
                "not-found",
                "announce at /.chicory/announce",
            );
        }
        if request.method() != Method::POST {
            return refused(
                StatusCode::METHOD_NOT_ALLOWED,
                "not-a-post",
                "announce by POST",
            );
        }
        let body = Limited::new(request.into_body(), MAX_ANNOUNCEMENT_BYTES);
        let Ok(body) = body.collect().await else {
            return refused(
                StatusCode::PAYLOAD_TOO_LARGE,
                "too-long",
                "at most 16384 bytes",
            );
        };
        let announcement: AnnounceRequest = match serde_json::from_slice(&body.to_bytes()) {
            Ok(announcement) => announcement,
            Err(error) => {
                return refused(StatusCode::BAD_REQUEST, "malformed", &error.to_string());
            }
        };
        let (reply, answer) = oneshot::channel();
        self.inbox.send(Input::Announced {
            announcement: Box::new(announcement.into()),
            reply,
        });
        match answer.await {
            Ok(Ok(answer)) => json(StatusCode::OK, &AnnounceAnswer::from(answer)),
            Ok(Err(error)) => json(StatusCode::CONFLICT, &AnnounceRefusal::from(error)),
            Err(_) => refused(
                StatusCode::SERVICE_UNAVAILABLE,
                "stopping",
                "ask another VM",
            ),
        }
    }
}

fn refused(status: StatusCode, error: &'static str, detail: &str) -> Response<HttpBody> {
    let detail = detail.to_owned();
    json(status, &AnnounceRefusal { error, detail })
}

fn json(status: StatusCode, message: &impl Serialize) -> Response<HttpBody> {
    let body = serde_json::to_vec(message).unwrap_or_default();
    let mut response = Response::new(HttpBody::full(body));
    *response.status_mut() = status;
    let json = HeaderValue::from_static("application/json");
    response.headers_mut().insert(CONTENT_TYPE, json);
    response
}
