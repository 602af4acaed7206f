//! Answers of backend servers whose status is none.

use std::net::SocketAddr;
use std::time::Duration;

use chicory_net::http::{HttpBody, SendError, ServerLink};
use googletest::prelude::*;
use hyper::Request;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;

/// Time after which a test fails. It does not influence results otherwise.
const TIMEOUT: Duration = Duration::from_secs(20);

/// Starts a server that answers each connection's first request with this status.
async fn start_server(status: &'static str) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("an address");
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let answer = format!("HTTP/1.1 {status} Answer\r\nContent-Length: 2\r\n\r\nok");
            let mut request = [0; 1024];
            let read = stream.read(&mut request).await;
            let written = stream.write_all(answer.as_bytes()).await;
            if read.is_ok() && written.is_ok() {
                tokio::spawn(async move {
                    let _stream = stream;
                    std::future::pending::<()>().await;
                });
            }
        }
    });
    address
}

async fn send(status: &'static str) -> std::result::Result<u16, SendError> {
    let address = start_server(status).await.to_string();
    let link = ServerLink::open(&address, TIMEOUT, || {}).await;
    let request = Request::get("/").body(HttpBody::empty());
    let mut link = link.expect("a link");
    let sent = link.send(request.expect("a request"));
    let sent = tokio::time::timeout(TIMEOUT, sent).await.expect("an end");
    sent.map(|response| response.status().as_u16())
}

#[gtest]
#[tokio::test]
async fn answer_without_a_valid_status_is_malformed() {
    for status in [
        "000", "099", "0200", "20", "abc", "-1", "2x0", "101", "600", "700", "999", "1000",
    ] {
        let sent = send(status).await;
        let is_malformed = matches!(sent, Err(SendError::Malformed));
        expect_that!(is_malformed, eq(true), "{status}: {sent:?}");
    }
}

#[gtest]
#[tokio::test]
async fn answer_with_a_valid_status_is_received_even_if_it_is_unknown() {
    for status in ["200", "204", "299", "308", "404", "499", "503", "599"] {
        let sent = send(status).await.ok();
        expect_that!(sent, some(eq(status.parse::<u16>().expect("a status"))));
    }
}
