//! The listener for requests that change behaviour while the servers run.

use std::convert::Infallible;
use std::rc::Rc;

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use tokio::net::TcpListener;
use tokio::task::spawn_local;

use super::{BehaviourRequest, ServerState};

/// Path of requests that change behaviour.
const BEHAVIOUR_PATH: &str = "/.standin/behaviour";

/// Serves requests that change behaviour until the process ends.
pub async fn serve(servers: Vec<Rc<ServerState>>, listener: TcpListener) {
    let servers = Rc::new(servers);
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            continue;
        };
        let servers = servers.clone();
        spawn_local(async move {
            let service = service_fn(|request| answer(servers.clone(), request));
            let connection = http1::Builder::new().serve_connection(TokioIo::new(stream), service);
            let _ = connection.await;
        });
    }
}

async fn answer(
    servers: Rc<Vec<Rc<ServerState>>>,
    request: Request<Incoming>,
) -> Result<Response<Full<Bytes>>, Infallible> {
    let is_behaviour_path = request.uri().path() == BEHAVIOUR_PATH;
    let body = request.into_body().collect().await;
    let body = body.map(http_body_util::Collected::to_bytes);
    let status = match body {
        _ if !is_behaviour_path => StatusCode::NOT_FOUND,
        Ok(body) => change_behaviour(&servers, &body),
        Err(_) => StatusCode::BAD_REQUEST,
    };
    let mut response = Response::new(Full::default());
    *response.status_mut() = status;
    Ok(response)
}

fn change_behaviour(servers: &[Rc<ServerState>], body: &[u8]) -> StatusCode {
    let Ok(request) = serde_json::from_slice::<BehaviourRequest>(body) else {
        return StatusCode::BAD_REQUEST;
    };
    let is_selected = |server: &&Rc<ServerState>| {
        let name = request.server.as_ref();
        name.is_none_or(|name| *name == server.name)
    };
    let mut count = 0_usize;
    for server in servers.iter().filter(is_selected) {
        server.apply(request.behaviour.clone());
        count += 1;
    }
    if count == 0 {
        StatusCode::NOT_FOUND
    } else {
        StatusCode::NO_CONTENT
    }
}
