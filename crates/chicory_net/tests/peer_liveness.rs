//! Connections whose peer says nothing, or accepts no more bytes.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use chicory_net::http::{HttpBody, ServerLink};
use googletest::prelude::*;
use http_body_util::BodyExt;
use hyper::Request;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

/// Longer than the time after which the kernel closes a connection whose peer is gone.
const SILENCE: Duration = Duration::from_secs(5);
const DEADLINE: Duration = Duration::from_secs(20);
const ANSWER: &[u8] = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";

/// Starts a server that reads a part of the first request, then nothing for a while, then the rest,
/// and answers.
async fn start_slow_server(first_bytes: usize, all_bytes: usize) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("an address");
    tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.expect("a connection");
        let read_bytes = read_at_least(&mut stream, first_bytes).await;
        tokio::time::sleep(SILENCE).await;
        read_at_least(&mut stream, all_bytes.saturating_sub(read_bytes)).await;
        stream.write_all(ANSWER).await.expect("an open connection");
        std::future::pending::<()>().await;
    });
    address
}

/// Reads this many bytes or more, and returns how many.
async fn read_at_least(stream: &mut TcpStream, bytes: usize) -> usize {
    let mut buffer = vec![0; 64 * 1024];
    let mut read_bytes = 0;
    while read_bytes < bytes {
        let read = stream.read(&mut buffer).await.expect("an open connection");
        assert!(read > 0, "the connection was closed");
        read_bytes += read;
    }
    read_bytes
}

async fn post(to: SocketAddr, body: Vec<u8>) -> std::result::Result<Bytes, String> {
    let link = ServerLink::open(&to.to_string(), DEADLINE, || {}).await;
    let mut link = link.expect("a link");
    let request = Request::post("/").body(HttpBody::full(body));
    let sent = link.send(request.expect("a request")).await;
    let response = sent.map_err(|error| error.to_string())?;
    let body = response.into_body().collect().await;
    body.map(http_body_util::Collected::to_bytes)
        .map_err(|error| error.to_string())
}

#[gtest]
#[tokio::test]
async fn answer_of_a_server_that_is_silent_for_long_is_received() {
    let server = start_slow_server(1, 1).await;
    let answer = tokio::time::timeout(DEADLINE, post(server, Vec::new())).await;
    expect_that!(answer.expect("an end"), ok(eq("ok")));
}

#[gtest]
#[tokio::test]
async fn server_may_stop_reading_a_long_request_for_a_while() {
    let body_bytes = 24 * 1024 * 1024;
    let server = start_slow_server(1, body_bytes).await;
    let answer = tokio::time::timeout(DEADLINE, post(server, vec![b'x'; body_bytes])).await;
    expect_that!(answer.expect("an end"), ok(eq("ok")));
}

#[gtest]
#[tokio::test]
async fn server_may_leave_a_short_request_unread_for_a_while() {
    let server = start_slow_server(0, 1).await;
    let answer = tokio::time::timeout(DEADLINE, post(server, vec![b'x'; 12 * 1024])).await;
    expect_that!(answer.expect("an end"), ok(eq("ok")));
}
