//! Tests of requests that reach the server, and of its answers.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use chicory_gateway::{AttemptOutcome, GatewayMetric};
use chicory_net::http::HttpBody;
use googletest::prelude::*;
use hyper::Request;
use tokio::io::AsyncWriteExt;

use crate::site::{Site, client, get, post, read_body, send, send_to};

const OK: &[u8] = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
static LONG_BODY: [u8; 1_000_000] = [b'x'; 1_000_000];

#[gtest]
#[tokio::test]
async fn request_and_answer_arrive_unchanged() {
    let site = Site::start().await;
    let client = client();
    let request = || {
        let mut request = get();
        request
            .headers_mut()
            .insert("x-caller", "1".parse().expect("a value"));
        request
    };
    let server = async {
        let mut connection = site.server.accept().await;
        let request = connection.read_request().await;
        let answer = "HTTP/1.1 404 Not Found\r\nX-Server: 7\r\nContent-Length: 4\r\n\
            chicory-relay-outcome: unreachable\r\n\r\nnone";
        connection.write(answer.as_bytes()).await;
        (request, connection)
    };
    let (sent, (received, _connection)) = tokio::join!(send_to(&site, &client, request), server);
    let head = received.head.to_ascii_lowercase();
    expect_that!(head, starts_with("get /reads/x?y=1 http/1.1\r\n"));
    expect_that!(head, contains_substring("host: one.example\r\n"));
    expect_that!(head, contains_substring("x-caller: 1\r\n"));
    expect_that!(head, not(contains_substring("chicory-relay")));
    expect_that!(head, not(contains_substring("prepared")));
    let (_link, response) = sent.expect("an answer");
    expect_that!(response.status().as_u16(), eq(404));
    expect_that!(response.headers()["x-server"], eq("7"));
    expect_that!(
        response.headers().contains_key("chicory-relay-outcome"),
        eq(false)
    );
    expect_that!(read_body(response).await, some(eq("none")));
    expect_that!(site.metrics.total(GatewayMetric::RelayedForOthers), eq(1));
    expect_that!(site.metrics.total(GatewayMetric::RelayedBytes), eq(4));
}

#[gtest]
#[tokio::test]
async fn answer_without_a_body_has_the_length_that_the_server_states() {
    let site = Site::start().await;
    let client = client();
    let request = || {
        let request = Request::head("/reads/x").header("host", "one.example");
        request.body(HttpBody::empty()).expect("a request")
    };
    let server = async {
        let mut connection = site.server.accept().await;
        connection.read_request().await;
        let answer = b"HTTP/1.1 200 OK\r\nContent-Length: 1234\r\n\r\n";
        connection.write(answer).await;
        connection
    };
    let (sent, _connection) = tokio::join!(send_to(&site, &client, request), server);
    let (_link, response) = sent.expect("an answer");
    expect_that!(response.headers()["content-length"], eq("1234"));
    expect_that!(read_body(response).await, some(eq("")));
}

#[gtest]
#[tokio::test]
async fn order_with_a_long_body_arrives_once() {
    let site = Site::start().await;
    let client = client();
    let server = async {
        let mut connection = site.server.accept().await;
        let request = connection.read_request().await;
        connection.write(OK).await;
        (request, connection)
    };
    let (sent, (received, _connection)) =
        tokio::join!(send_to(&site, &client, || post(&LONG_BODY)), server);
    expect_that!(received.head, starts_with("POST /orders/x HTTP/1.1\r\n"));
    expect_that!(received.body == LONG_BODY, eq(true));
    let (_link, response) = sent.expect("an answer");
    expect_that!(read_body(response).await, some(eq("ok")));
    expect_that!(site.server.has_connection().await, eq(false));
}

/// The server's headers about its connection are meant for the entry VM that relays.
#[gtest]
#[tokio::test]
async fn connection_between_entry_vms_is_kept_when_the_server_closes_its_own() {
    let site = Site::start().await;
    let client = client();
    let closing = b"HTTP/1.1 200 OK\r\nConnection: close\r\nKeep-Alive: timeout=1\r\n\
        Content-Length: 2\r\n\r\nok";
    let server = async {
        let mut connection = site.server.accept().await;
        connection.read_request().await;
        connection.write(closing).await;
    };
    let (sent, ()) = tokio::join!(send_to(&site, &client, get), server);
    let (mut link, response) = sent.expect("an answer");
    expect_that!(response.headers().contains_key("connection"), eq(false));
    expect_that!(response.headers().contains_key("keep-alive"), eq(false));
    expect_that!(read_body(response).await, some(eq("ok")));
    expect_that!(link.ready().await, eq(true));
}

#[gtest]
#[tokio::test]
async fn slow_reader_holds_the_server_back() {
    const ALL_PARTS: usize = 1500;
    let site = Site::start().await;
    let client = client();
    let written_parts = Arc::new(AtomicUsize::new(0));
    let (sent, mut connection) = tokio::join!(send_to(&site, &client, get), async {
        let mut connection = site.server.accept().await;
        connection.read_request().await;
        let length = ALL_PARTS * LONG_BODY.len() / 10;
        let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {length}\r\n\r\n");
        connection.write(head.as_bytes()).await;
        connection
    });
    let (_link, response) = sent.expect("an answer");
    let counter = written_parts.clone();
    tokio::spawn(async move {
        for _ in 0..ALL_PARTS {
            let part = &LONG_BODY[..LONG_BODY.len() / 10];
            let written = connection.stream.write_all(part).await;
            written.expect("an open connection");
            counter.fetch_add(1, Ordering::SeqCst);
        }
        std::future::pending::<()>().await;
    });
    // Waits until the buffers on the way are full.
    let mut before = usize::MAX;
    while before != written_parts.load(Ordering::SeqCst) {
        before = written_parts.load(Ordering::SeqCst);
        tokio::time::sleep(Duration::from_secs(3)).await;
    }
    expect_that!(before, lt(ALL_PARTS));
    let body = read_body(response).await.expect("a whole body");
    expect_that!(body.len(), eq(ALL_PARTS * LONG_BODY.len() / 10));
}

#[gtest]
#[tokio::test]
async fn answer_that_breaks_off_does_not_look_complete() {
    let site = Site::start().await;
    let client = client();
    for head in [
        "Content-Length: 100\r\n\r\nbegin",
        "Transfer-Encoding: chunked\r\n\r\n5\r\nbegin\r\n",
    ] {
        let (sent, connection) = tokio::join!(send_to(&site, &client, get), async {
            let mut connection = site.server.accept().await;
            connection.read_request().await;
            let answer = format!("HTTP/1.1 200 OK\r\n{head}");
            connection.write(answer.as_bytes()).await;
            connection
        });
        let (_link, response) = sent.expect("an answer");
        drop(connection);
        expect_that!(read_body(response).await, none(), "{head}");
    }
}

#[gtest]
#[tokio::test]
async fn answer_that_ends_with_its_connection_is_complete() {
    let site = Site::start().await;
    let client = client();
    let server = async {
        let mut connection = site.server.accept().await;
        connection.read_request().await;
        connection.write(b"HTTP/1.1 200 OK\r\n\r\nwhole").await;
    };
    let (sent, ()) = tokio::join!(send_to(&site, &client, get), server);
    let (_link, response) = sent.expect("an answer");
    expect_that!(read_body(response).await, some(eq("whole")));
}

#[gtest]
#[tokio::test]
async fn order_to_a_server_that_closes_the_connection_is_not_sent_again() {
    let site = Site::start().await;
    let client = client();
    let server = async {
        let mut connection = site.server.accept().await;
        connection.read_request().await;
    };
    let (sent, ()) = tokio::join!(send_to(&site, &client, || post(b"order")), server);
    expect_that!(sent.err(), some(eq(AttemptOutcome::Broken)));
    expect_that!(site.server.has_connection().await, eq(false));
}

#[gtest]
#[tokio::test]
async fn malformed_answer_is_stated() {
    let site = Site::start().await;
    let client = client();
    let server = async {
        let mut connection = site.server.accept().await;
        connection.read_request().await;
        connection.write(b"\x01\x02 no answer\r\n\r\n").await;
        connection
    };
    let (sent, _connection) = tokio::join!(send_to(&site, &client, get), server);
    expect_that!(sent.err(), some(eq(AttemptOutcome::Garbled)));
}

#[gtest]
#[tokio::test]
async fn server_with_too_many_connections_turns_the_request_away() {
    let site = Site::start().await;
    let client = client();
    let mut target = site.target();
    // Long enough on slow machines.
    target.settle_time = Duration::from_secs(1);
    let server = async {
        drop(site.server.accept().await);
    };
    let (sent, ()) = tokio::join!(send(&client, &site.peer, &target, get), server);
    expect_that!(sent.err(), some(eq(AttemptOutcome::ConnectionRejected)));
}
