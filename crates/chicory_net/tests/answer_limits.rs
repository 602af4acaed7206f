//! Limits of the answers that a connection to a backend server delivers.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use chicory_net::http::{BodySource, HttpBody, ServerLink};
use googletest::prelude::*;
use http_body_util::BodyExt;
use hyper::{Request, Response};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;
use tokio::time::Instant;

const TIMEOUT: Duration = Duration::from_secs(5);

/// Starts a server that answers each connection's first request with these bytes and then closes the
/// connection, or keeps it open if `keeps_open` is set.
async fn start_server(answer: String, keeps_open: bool) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("an address");
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let answer = answer.clone();
            tokio::spawn(async move {
                let mut request = [0; 1024];
                let read = stream.read(&mut request).await;
                // The client may have closed the connection.
                let written = stream.write_all(answer.as_bytes()).await;
                if keeps_open && read.is_ok() && written.is_ok() {
                    std::future::pending::<()>().await;
                }
            });
        }
    });
    address
}

async fn open(address: SocketAddr) -> ServerLink {
    let link = ServerLink::open(&address.to_string(), TIMEOUT, || {}).await;
    link.expect("a link")
}

fn get() -> Request<HttpBody> {
    Request::get("/")
        .body(HttpBody::empty())
        .expect("a request")
}

async fn read_body(response: Response<hyper::body::Incoming>) -> std::result::Result<Bytes, ()> {
    let body = tokio::time::timeout(TIMEOUT, response.into_body().collect()).await;
    let body = body.expect("an end");
    body.map(http_body_util::Collected::to_bytes)
        .map_err(|_| ())
}

#[gtest]
#[tokio::test]
async fn body_up_to_the_limit_is_whole_and_a_longer_one_fails() {
    for (length_bytes, is_whole) in [(1000, true), (200_000, false)] {
        let answer = format!("HTTP/1.1 200 OK\r\n\r\n{}", "x".repeat(length_bytes));
        let mut link = open(start_server(answer, false).await)
            .await
            .with_max_body_bytes(100_000);
        let response = link.send(get()).await.expect("a head");
        let body = read_body(response).await;
        expect_that!(body.is_ok(), eq(is_whole), "{length_bytes}");
    }
}

#[gtest]
#[tokio::test]
async fn head_that_is_too_long_fails() {
    let answer = format!("HTTP/1.1 200 OK\r\nX-Long: {}", "x".repeat(2_000_000));
    let mut link = open(start_server(answer, true).await).await;
    let sent = tokio::time::timeout(TIMEOUT, link.send(get())).await;
    expect_that!(sent.expect("an end").is_err(), eq(true));
}

#[gtest]
#[tokio::test]
async fn body_of_an_expired_connection_does_not_look_complete() {
    let answer = "HTTP/1.1 200 OK\r\n\r\nbegin".to_owned();
    let mut link = open(start_server(answer, true).await).await;
    let response = link.send(get()).await.expect("a head");
    let expiry = link.set_expiry(Instant::now() + Duration::from_millis(100));
    let body = HttpBody::new(BodySource::Incoming(response.into_body()));
    let collected = tokio::time::timeout(TIMEOUT, body.with_abort_signal(expiry).collect()).await;
    expect_that!(collected.expect("an end").is_err(), eq(true));
}

#[gtest]
#[tokio::test]
async fn cleared_expiry_keeps_the_connection() {
    let answer = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok".to_owned();
    let mut link = open(start_server(answer, true).await).await;
    let response = link.send(get()).await.expect("a head");
    let expiry = link.set_expiry(Instant::now() + Duration::from_millis(50));
    expect_that!(read_body(response).await, ok(eq("ok")));
    link.clear_expiry();
    tokio::time::sleep(Duration::from_millis(150)).await;
    expect_that!(link.ready().await, eq(true));
    drop(expiry);
}
