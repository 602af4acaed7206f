//! Refused request heads, announcements and admin pages.

use std::net::SocketAddr;

use crate::support::fake_zone::policy;
use crate::support::{FakeServer, TestCluster, get, send};
use chicory_net::http::HttpBody;
use googletest::prelude::*;
use hyper::{Request, Response, StatusCode};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

async fn send_raw(to: SocketAddr, request: &[u8]) -> String {
    let mut stream = TcpStream::connect(to).await.expect("connected");
    stream.write_all(request).await.expect("sent");
    let mut answer = Vec::new();
    let _ = stream.read_to_end(&mut answer).await;
    String::from_utf8_lossy(&answer).into_owned()
}

async fn metric(admin: SocketAddr, name: &str) -> u64 {
    let page = get(admin, "/metrics").await;
    let prefix = format!("{name} ");
    let line = page.text().lines().find_map(|l| l.strip_prefix(&prefix));
    line.map_or(0, |value| value.parse().expect("a number"))
}

#[gtest]
#[tokio::test]
async fn oversized_and_malformed_heads_are_refused_and_counted() {
    let cluster = TestCluster::new();
    let entry = cluster.entry("vm-1").await;
    let callers = entry.addresses().callers;
    let long = format!(
        "GET /a/b HTTP/1.1\r\nhost: x\r\nx-long: {}\r\n\r\n",
        "y".repeat(20_000)
    );
    expect_that!(
        send_raw(callers, long.as_bytes()).await,
        starts_with("HTTP/1.1 431")
    );
    expect_that!(
        send_raw(callers, b"GET /a/b HTTP/1.1\r\nno colon\r\n\r\n").await,
        starts_with("HTTP/1.1 400")
    );
    let many = format!("GET /a/b HTTP/1.1\r\n{}\r\n", "h: v\r\n".repeat(200));
    expect_that!(
        send_raw(callers, many.as_bytes()).await,
        starts_with("HTTP/1.1 431")
    );
    let admin = entry.addresses().admin;
    expect_that!(metric(admin, "chicory_oversized_heads_total").await, eq(2));
    expect_that!(metric(admin, "chicory_malformed_heads_total").await, eq(1));
}

#[gtest]
#[tokio::test]
async fn callers_over_the_limit_are_refused_while_others_are_served() {
    let cluster = TestCluster::new();
    let (started, mut starts) = tokio::sync::mpsc::unbounded_channel();
    let server = FakeServer::start(move |_| {
        let _ = started.send(());
        std::future::pending()
    })
    .await;
    let record = server.record("archive-1", "archive");
    cluster.zone.serve(record, "vm-1", policy(true, true));
    let mut settings = cluster.settings("vm-1");
    settings.caller_limits.max_connections = 1;
    let entry = cluster.entry_with(settings).await;
    let callers = entry.addresses().callers;
    let first = tokio::spawn(async move {
        loop {
            get(callers, "/archive/k").await;
        }
    });
    starts.recv().await.expect("started");
    let admin = entry.addresses().admin;
    for refused in 0..10 {
        let refusals = metric(admin, "chicory_refused_callers_total").await;
        expect_that!(refusals, eq(refused));
        let mut stream = TcpStream::connect(callers).await.expect("connected");
        let read = stream.read(&mut [0; 16]).await;
        expect_that!(matches!(read, Ok(0) | Err(_)), eq(true));
    }
    expect_that!(first.is_finished(), eq(false));
    first.abort();
}

/// Guards against callers that are turned away because of connections that nobody uses.
#[gtest]
#[tokio::test]
async fn connection_without_a_request_is_closed_for_a_new_one_over_the_limit() {
    let cluster = TestCluster::new();
    let mut settings = cluster.settings("vm-1");
    settings.caller_limits.max_connections = 1;
    let entry = cluster.entry_with(settings).await;
    let callers = entry.addresses().callers;
    let admin = entry.addresses().admin;
    let mut first = TcpStream::connect(callers).await.expect("connected");
    first.write_all(b"GET").await.expect("sent");
    let answer = get(callers, "/nothing/k").await;
    expect_that!(answer.status.is_client_error(), eq(true));
    let read = first.read(&mut [0; 16]).await;
    expect_that!(matches!(read, Ok(0) | Err(_)), eq(true));
    let evicted = metric(admin, "chicory_evicted_connections_total").await;
    expect_that!(evicted, eq(1));
    let refused = metric(admin, "chicory_refused_callers_total").await;
    expect_that!(refused, eq(0));
}

#[gtest]
#[tokio::test]
async fn announcements_are_answered_with_grants_or_a_typed_error() {
    let cluster = TestCluster::new();
    let server = FakeServer::start(|_| async { Response::new(HttpBody::empty()) }).await;
    let record = server.record("archive-1", "archive");
    cluster.zone.serve(record, "vm-1", policy(true, true));
    let entry = cluster.entry("vm-1").await;
    let to = entry.addresses().announcements;
    let announce = |zone: &str, service: &str| {
        let message = format!(
            r#"{{"service":"{service}","server":"archive-1","address":"{}","zone":"{zone}",
            "slots":4,"connections":16,"incarnation":1,"checks_grants":true,"draining":false,
            "known_grants_version":0}}"#,
            server.address
        );
        let request = Request::post("/.chicory/announce").header("host", "test");
        request.body(HttpBody::full(message)).expect("a request")
    };
    let granted = loop {
        let answer = send(to, announce("zone-a", "archive")).await;
        expect_that!(answer.status, eq(StatusCode::OK));
        if answer.text().contains(r#""token":"1.7""#) {
            break answer;
        }
        tokio::time::sleep(std::time::Duration::from_millis(20)).await;
    };
    expect_that!(
        granted.text(),
        contains_substring(r#""first":0,"last":16383"#)
    );
    expect_that!(granted.text(), contains_substring(r#""lease_ms":"#));
    let refused = send(to, announce("zone-b", "archive")).await;
    expect_that!(refused.status.is_client_error(), eq(true));
    expect_that!(
        refused.text(),
        contains_substring(r#""error":"wrong-zone""#)
    );
    let refused = send(to, announce("zone-a", "nowhere")).await;
    expect_that!(
        refused.text(),
        contains_substring(r#""error":"unknown-service""#)
    );
    let malformed = Request::post("/.chicory/announce").header("host", "test");
    let malformed = malformed.body(HttpBody::full("{")).expect("a request");
    let refused = send(to, malformed).await;
    expect_that!(refused.status, eq(StatusCode::BAD_REQUEST));
    expect_that!(refused.text(), contains_substring(r#""error":"malformed""#));
}

#[gtest]
#[tokio::test]
async fn admin_pages_report_health_readiness_and_metrics() {
    let cluster = TestCluster::new();
    let entry = cluster.entry("vm-1").await;
    let admin = entry.addresses().admin;
    expect_that!(get(admin, "/healthz").await.status, eq(StatusCode::OK));
    expect_that!(get(admin, "/readyz").await.status, eq(StatusCode::OK));
    expect_that!(get(admin, "/other").await.status, eq(StatusCode::NOT_FOUND));
    while metric(admin, "chicory_renewals_total").await == 0 {
        tokio::time::sleep(std::time::Duration::from_millis(20)).await;
    }
}
