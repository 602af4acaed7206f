//! Long and incomplete bodies.

use std::time::Duration;

use crate::support::fake_zone::policy;
use crate::support::{FakeServer, TestCluster, get_until_ok, send, try_send};
use bytes::Bytes;
use chicory_net::http::{BodySource, HttpBody};
use chicory_net::peer::BodyPart;
use googletest::prelude::*;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use hyper::{Request, Response, StatusCode};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;

const CHUNK_BYTES: usize = 64 * 1024;
const BUNDLE_CHUNKS: usize = 512;

/// Creates a body that is sent in parts and has no stated length.
fn chunked_body(parts: usize) -> HttpBody {
    let (sender, receiver) = mpsc::channel(2);
    tokio::spawn(async move {
        for _ in 0..parts {
            let part = Bytes::from(vec![9; CHUNK_BYTES]);
            if sender.send(Ok(BodyPart::Chunk(part))).await.is_err() {
                return;
            }
        }
        let _ = sender.send(Ok(BodyPart::End)).await;
    });
    HttpBody::new(BodySource::Parts {
        parts: receiver,
        remaining_bytes: None,
    })
}

async fn bundle(request: Request<Incoming>) -> Response<HttpBody> {
    if request.method() == "GET" {
        return match request.uri().path() {
            "/bundles/ping" => Response::new(HttpBody::empty()),
            _ => Response::new(chunked_body(BUNDLE_CHUNKS)),
        };
    }
    let mut received_bytes = 0;
    let mut body = request.into_body();
    while let Some(Ok(frame)) = body.frame().await {
        received_bytes += frame.data_ref().map_or(0, Bytes::len);
    }
    Response::new(HttpBody::full(received_bytes.to_string()))
}

async fn check_both_directions(to: std::net::SocketAddr) {
    get_until_ok(to, "/bundles/ping").await;
    let answer = get_until_ok(to, "/bundles/big").await;
    expect_that!(answer.body.len(), eq(BUNDLE_CHUNKS * CHUNK_BYTES));
    let put = Request::put("/bundles/big").header("host", "test");
    let answer = send(
        to,
        put.body(chunked_body(BUNDLE_CHUNKS)).expect("a request"),
    )
    .await;
    expect_that!(answer.status, eq(StatusCode::OK));
    let expected = (BUNDLE_CHUNKS * CHUNK_BYTES).to_string();
    expect_that!(answer.text(), eq(&expected));
}

#[gtest]
#[tokio::test]
async fn bodies_of_many_megabytes_are_forwarded_in_both_directions() {
    let cluster = TestCluster::new();
    let server = FakeServer::start(bundle).await;
    let record = server.record("bundles-1", "bundles");
    cluster.zone.serve(record, "vm-1", policy(false, true));
    let dispatcher = cluster.entry("vm-1").await;
    check_both_directions(dispatcher.addresses().callers).await;
    let relaying = cluster.entry("vm-2").await;
    check_both_directions(relaying.addresses().callers).await;
}

#[gtest]
#[tokio::test]
async fn a_caller_that_reads_slowly_slows_the_server_down() {
    let cluster = TestCluster::new();
    let (taken, mut parts_taken) = mpsc::unbounded_channel();
    let server = FakeServer::start(move |request| {
        let taken = taken.clone();
        async move {
            if request.uri().path() == "/bundles/ping" {
                return Response::new(HttpBody::empty());
            }
            let (sender, parts) = mpsc::channel(1);
            tokio::spawn(async move {
                for _ in 0..BUNDLE_CHUNKS {
                    let part = Bytes::from(vec![9; CHUNK_BYTES]);
                    if sender.send(Ok(BodyPart::Chunk(part))).await.is_err() {
                        return;
                    }
                    let _ = taken.send(());
                }
                let _ = sender.send(Ok(BodyPart::End)).await;
            });
            Response::new(HttpBody::new(BodySource::Parts {
                parts,
                remaining_bytes: None,
            }))
        }
    })
    .await;
    let record = server.record("bundles-1", "bundles");
    cluster.zone.serve(record, "vm-1", policy(false, true));
    let _dispatcher = cluster.entry("vm-1").await;
    let relaying = cluster.entry("vm-2").await;
    let to = relaying.addresses().callers;
    get_until_ok(to, "/bundles/ping").await;
    let mut caller = TcpStream::connect(to).await.expect("connected");
    let request = b"GET /bundles/big HTTP/1.1\r\nhost: test\r\n\r\n";
    caller.write_all(request).await.expect("sent");
    parts_taken.recv().await.expect("the server has begun");
    tokio::time::sleep(Duration::from_millis(500)).await;
    let mut count = 0;
    while parts_taken.try_recv().is_ok() {
        count += 1;
    }
    // Only the socket buffers and flow-control windows between server and caller fill up, which
    // hold a few MiB of the 32 MiB.
    expect_that!(count, lt(BUNDLE_CHUNKS * 3 / 4));
}

/// Starts a server that states a longer body than it sends.
async fn start_truncating_server() -> std::net::SocketAddr {
    let listener = TcpListener::bind(crate::support::any_port())
        .await
        .expect("a port");
    let address = listener.local_addr().expect("an address");
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            tokio::spawn(async move {
                let mut head = [0; 4_096];
                let read = stream.read(&mut head).await.unwrap_or(0);
                let is_health = head[..read].starts_with(b"GET /.chicory/health");
                let answer: &[u8] = if is_health {
                    b"HTTP/1.1 200 OK\r\ncontent-length: 16\r\n\r\n{\"healthy\":true}"
                } else {
                    b"HTTP/1.1 200 OK\r\ncontent-length: 1000\r\n\r\nnot all of it"
                };
                let _ = stream.write_all(answer).await;
            });
        }
    });
    address
}

#[gtest]
#[tokio::test]
async fn a_truncated_answer_is_never_forwarded_as_complete() {
    let cluster = TestCluster::new();
    let address = start_truncating_server().await;
    let record = crate::support::fake_server::record("archive-1", "archive", address);
    cluster.zone.serve(record, "vm-1", policy(true, true));
    let dispatcher = cluster.entry("vm-1").await;
    let relaying = cluster.entry("vm-2").await;
    for to in [dispatcher.addresses().callers, relaying.addresses().callers] {
        loop {
            let request = Request::get("/archive/k").header("host", "test");
            let request = request.body(HttpBody::empty()).expect("a request");
            // On a relay, the failure may be reported before the head, so that nothing of the
            // answer was forwarded yet.
            match try_send(to, request).await {
                None => break,
                Some(answer) if answer.header("chicory-outcome") == "unknown" => {
                    expect_that!(answer.status, eq(StatusCode::BAD_GATEWAY));
                    break;
                }
                Some(answer) => expect_that!(answer.header("chicory-outcome"), eq("not-run")),
            }
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    }
}

#[gtest]
#[tokio::test]
async fn an_answer_of_unknown_length_is_refused_as_broken() {
    let cluster = TestCluster::new();
    let listener = TcpListener::bind(crate::support::any_port())
        .await
        .expect("a port");
    let address = listener.local_addr().expect("an address");
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let mut head = [0; 4_096];
            let _ = stream.read(&mut head).await;
            let _ = stream
                .write_all(b"HTTP/1.1 200 OK\r\n\r\nuntil the end")
                .await;
        }
    });
    let record = crate::support::fake_server::record("archive-1", "archive", address);
    cluster.zone.serve(record, "vm-1", policy(true, true));
    let entry = cluster.entry("vm-1").await;
    let answer = crate::support::get(entry.addresses().callers, "/archive/k").await;
    expect_that!(answer.status, eq(StatusCode::BAD_GATEWAY));
    expect_that!(answer.header("chicory-outcome"), eq("unknown"));
    expect_that!(answer.header("chicory-reason"), eq("answer-broken"));
}
