//! Tests of requests that an entry VM does not relay.

use std::net::SocketAddr;
use std::time::Duration;

use chicory_gateway::{AttemptOutcome, GatewayMetric, RelayHead};
use chicory_net::http::{HttpBody, ServerLink};
use chicory_ranges::ServerIncarnation;
use googletest::prelude::*;
use hyper::{Request, Response};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

use crate::backend_server::BackendServer;
use crate::site::{
    DEADLINE, Site, bind, client, get, incarnation, post, read_body, send, send_once, send_to,
    target_at,
};

static LONG_BODY: [u8; 4_000_000] = [b'x'; 4_000_000];

pub fn head_for(address: SocketAddr) -> RelayHead {
    RelayHead {
        from: "entry-1".into(),
        request: Some("a-1".into()),
        server: incarnation(),
        address,
        attempt_time: DEADLINE,
        caller_time: DEADLINE,
        connect_timeout: Duration::from_secs(5),
        max_idle: Duration::ZERO,
        settle_time: Duration::ZERO,
    }
}

/// Sends a request as it is to the entry VM, and again as long as that is overloaded.
pub async fn send_raw(
    to: SocketAddr,
    request: impl Fn() -> Request<HttpBody>,
) -> Response<hyper::body::Incoming> {
    loop {
        let link = ServerLink::open(&to.to_string(), DEADLINE, || {}).await;
        let mut link = link.expect("a connection");
        let response = link.send(request()).await.expect("an answer");
        if response.headers()["chicory-relay-outcome"] != "busy" {
            return response;
        }
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
}

pub fn with_head(head: &RelayHead) -> Request<HttpBody> {
    let mut request = get();
    head.write(request.headers_mut()).expect("headers");
    request
}

#[gtest]
#[tokio::test]
async fn server_with_another_incarnation_or_address_is_unknown() {
    let site = Site::start().await;
    let known = head_for(site.server.address);
    let others = [
        RelayHead {
            server: ServerIncarnation::new("i-1", 8),
            ..known.clone()
        },
        RelayHead {
            server: ServerIncarnation::new("i-2", 7),
            ..known.clone()
        },
        RelayHead {
            address: SocketAddr::new(site.server.address.ip(), 1),
            ..known
        },
    ];
    for head in others {
        let answer = send_raw(site.peer.address, || with_head(&head)).await;
        expect_that!(answer.status().as_u16(), eq(503));
        let headers = answer.headers();
        expect_that!(headers["chicory-relay-outcome"], eq("unknown-server"));
        expect_that!(read_body(answer).await, some(eq("")));
    }
    let refused = GatewayMetric::RelayRefusedUnknownServer;
    expect_that!(site.metrics.total(refused), eq(3));
    expect_that!(site.server.has_connection().await, eq(false));
}

/// A refusal in the middle of a body would look like a broken connection, after which an order may
/// have run.
#[gtest]
#[tokio::test]
async fn refused_order_with_a_long_body_has_certainly_not_run() {
    let site = Site::start().await;
    let client = client();
    let mut target = site.target();
    target.incarnation = ServerIncarnation::new("i-2", 7);
    for _ in 0..8 {
        let sent = send_once(&client, &site.peer, &target, || post(&LONG_BODY)).await;
        expect_that!(sent.err(), some(eq(AttemptOutcome::RefusedByRelay)));
    }
    expect_that!(site.server.has_connection().await, eq(false));
}

/// An entry VM that closed the connection while the other one sends could destroy its own refusal on
/// the way.
#[gtest]
#[tokio::test]
async fn refusal_is_sent_after_the_end_of_the_body() {
    let site = Site::start().await;
    let mut request = post(&LONG_BODY);
    let head = RelayHead {
        server: ServerIncarnation::new("i-2", 7),
        ..head_for(site.server.address)
    };
    head.write(request.headers_mut()).expect("headers");
    let mut text = format!(
        "POST /orders/x HTTP/1.1\r\ncontent-length: {}\r\n",
        LONG_BODY.len()
    );
    for (name, value) in request.headers() {
        let value = value.to_str().expect("a text");
        text.extend([name.as_str(), ": ", value, "\r\n"]);
    }
    text.push_str("\r\n");
    let mut stream = TcpStream::connect(site.peer.address)
        .await
        .expect("a connection");
    let (first, second) = LONG_BODY.split_at(LONG_BODY.len() / 2);
    for part in [text.as_bytes(), first] {
        stream.write_all(part).await.expect("an open connection");
    }
    let mut answer = vec![0; 1024];
    let early = tokio::time::timeout(Duration::from_millis(300), stream.read(&mut answer)).await;
    expect_that!(early.is_err(), eq(true), "the body was not read to its end");
    stream.write_all(second).await.expect("an open connection");
    let read = tokio::time::timeout(DEADLINE, stream.read(&mut answer)).await;
    let read_bytes = read.expect("an end").expect("an answer");
    let answer = String::from_utf8_lossy(&answer[..read_bytes]);
    expect_that!(answer, starts_with("HTTP/1.1 503 "));
}

#[gtest]
#[tokio::test]
async fn server_that_no_process_listens_for_is_unreachable_from_the_relay() {
    let (_socket, address) = bind();
    let site = Site::start_with_directory(BackendServer::start().await, address).await;
    let client = client();
    let target = target_at(address);
    let head = head_for(target.address);
    let answer = send_raw(site.peer.address, || with_head(&head)).await;
    expect_that!(answer.status().as_u16(), eq(502));
    let headers = answer.headers();
    expect_that!(headers["chicory-relay-outcome"], eq("refused-by-server"));
    let sent = send(&client, &site.peer, &target, || post(b"order")).await;
    expect_that!(sent.err(), some(eq(AttemptOutcome::UnreachableFromRelay)));
}

#[gtest]
#[tokio::test]
async fn stopping_entry_vm_finishes_what_it_relays_and_refuses_the_rest() {
    let site = Site::start().await;
    let client = client();
    let stops = async {
        let mut connection = site.server.accept().await;
        connection.read_request().await;
        site.stop.send_replace(true);
        while !site.readiness.is_stopping() {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
        let head = head_for(site.server.address);
        let outcome = loop {
            let mut link = ServerLink::open(&site.peer.address.to_string(), DEADLINE, || {})
                .await
                .expect("a connection");
            let response = link.send(with_head(&head)).await.expect("an answer");
            let outcome = response.headers()["chicory-relay-outcome"].clone();
            if outcome != "busy" {
                break outcome;
            }
        };
        let answer = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
        connection.write(answer).await;
        (outcome, connection)
    };
    let (sent, (outcome, _connection)) = tokio::join!(send_to(&site, &client, get), stops);
    expect_that!(outcome, eq("stopping"));
    let (_link, response) = sent.expect("an answer");
    expect_that!(read_body(response).await, some(eq("ok")));
}

#[gtest]
#[tokio::test]
async fn request_without_the_headers_of_entry_vms_is_refused_with_a_reason() {
    let site = Site::start().await;
    let known = head_for(site.server.address);
    let changes: [(&str, &[&str]); 6] = [
        ("chicory-relay-version", &[]),
        ("chicory-relay-version", &["2"]),
        ("chicory-relay-server", &[]),
        ("chicory-relay-server", &["i-1", "i-1"]),
        ("chicory-relay-address", &["nowhere"]),
        ("chicory-relay-attempt-ms", &["99999999999999999999"]),
    ];
    for (name, values) in changes {
        let request = || {
            let mut request = with_head(&known);
            request.headers_mut().remove(name);
            for value in values {
                let value = value.parse().expect("a value");
                request.headers_mut().append(name, value);
            }
            request
        };
        let answer = send_raw(site.peer.address, request).await;
        expect_that!(answer.status().as_u16(), eq(400), "{name} {values:?}");
        let headers = answer.headers();
        expect_that!(headers["chicory-relay-outcome"], eq("bad-request"));
        let reason = headers["chicory-relay-reason"].to_str().expect("a text");
        expect_that!(reason.is_empty(), eq(false));
    }
    let refused = GatewayMetric::RelayRefusedMalformed;
    expect_that!(site.metrics.total(refused), eq(6));
    expect_that!(site.server.has_connection().await, eq(false));
}

#[gtest]
#[tokio::test]
async fn bytes_that_are_no_request_close_only_their_own_connection() {
    let site = Site::start().await;
    for bytes in [
        &b"\x00\x01\x02\x03\r\n\r\n"[..],
        b"GET",
        b"\r\n\r\n\r\n",
        &[255; 5000],
    ] {
        let mut stream = TcpStream::connect(site.peer.address)
            .await
            .expect("a connection");
        // The entry VM may have closed the connection already.
        let _ = stream.write_all(bytes).await;
        let _ = stream.shutdown().await;
        let mut received = Vec::new();
        let read = tokio::time::timeout(DEADLINE, stream.read_to_end(&mut received)).await;
        expect_that!(read.is_ok(), eq(true));
    }
    let client = client();
    let server = async {
        let mut connection = site.server.accept().await;
        connection.read_request().await;
        let answer = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
        connection.write(answer).await;
        connection
    };
    let (sent, _connection) = tokio::join!(send_to(&site, &client, get), server);
    expect_that!(sent.is_ok(), eq(true));
}

#[gtest]
#[tokio::test]
async fn entry_process_that_cannot_listen_for_others_runs_without_relaying() {
    let (_socket, taken) = bind();
    let server = BackendServer::start().await;
    let address = server.address;
    let site = Site::start_with_relay_address(server, address, taken).await;
    expect_that!(site.readiness.is_ready(), eq(true));
    let client = client();
    let sent = send_once(&client, &site.peer, &site.target(), get).await;
    expect_that!(sent.err(), some(eq(AttemptOutcome::RelayUnavailable)));
}
