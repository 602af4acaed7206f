//! Requests of callers through an entry process, directly and over a relay.

use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use crate::support::fake_zone::policy;
use crate::support::{CONNECT_TIMEOUT, FakeServer, TestCluster, get, get_until_ok, send, try_send};
use chicory_net::http::{HttpBody, SendError, ServerLink};
use googletest::prelude::*;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use hyper::{Request, Response, StatusCode};

/// Number of concurrent callers in the tests under load.
const CALLERS: usize = 8;

/// Answers with the parts of the request that the server received.
async fn echo(request: Request<Incoming>) -> Response<HttpBody> {
    let (head, body) = request.into_parts();
    let body = body.collect().await.map(|body| body.to_bytes().len());
    let header = |name: &str| {
        let value = head.headers.get(name);
        value.map_or(String::new(), |v| v.to_str().unwrap_or("?").to_owned())
    };
    let seen = format!(
        "{} {} token={} slot={} order={} body={:?}",
        head.method,
        head.uri,
        header("chicory-token"),
        header("chicory-slot"),
        header("idempotency-key"),
        body.ok(),
    );
    let mut response = Response::new(HttpBody::full(seen));
    let echoed = head.headers.get("chicory-request-id").cloned();
    let headers = response.headers_mut();
    headers.insert("chicory-request-id", echoed.expect("a request id"));
    headers.insert("x-own", "kept".parse().expect("a value"));
    response
}

#[gtest]
#[tokio::test]
async fn a_keyed_request_reaches_its_owner_with_token_and_slot() {
    let cluster = TestCluster::new();
    let server = FakeServer::start(echo).await;
    let record = server.record("archive-1", "archive");
    cluster.zone.serve(record, "vm-1", policy(true, true));
    let entry = cluster.entry("vm-1").await;
    let answer = get_until_ok(entry.addresses().callers, "/archive/horn%2012/x?y=1").await;
    let slot = chicory_types::slot_of_key("horn 12");
    let expected =
        format!("GET /archive/horn%2012/x?y=1 token=1.7 slot={slot} order= body=Some(0)");
    expect_that!(answer.text(), eq(&expected));
    expect_that!(answer.header("chicory-outcome"), eq("ran"));
    expect_that!(answer.header("x-own"), eq("kept"));
    expect_that!(answer.header("chicory-request-id"), eq(""));
}

#[gtest]
#[tokio::test]
async fn a_request_at_another_vm_is_relayed_to_the_dispatcher() {
    let cluster = TestCluster::new();
    let server = FakeServer::start(echo).await;
    let record = server.record("archive-1", "archive");
    cluster.zone.serve(record, "vm-1", policy(true, true));
    let _dispatcher = cluster.entry("vm-1").await;
    let entry = cluster.entry("vm-2").await;
    let to = entry.addresses().callers;
    let answer = get_until_ok(to, "/archive/k").await;
    expect_that!(answer.text(), starts_with("GET /archive/k token=1.7"));
    expect_that!(answer.header("chicory-outcome"), eq("ran"));
    expect_that!(answer.header("x-own"), eq("kept"));
    let head = Request::head("/archive/k").header("host", "test");
    let answer = send(to, head.body(HttpBody::empty()).expect("a request")).await;
    expect_that!(answer.status, eq(StatusCode::OK));
    let body = vec![7; 40_000];
    let post = Request::post("/archive/k").header("host", "test");
    let answer = send(to, post.body(HttpBody::full(body)).expect("a request")).await;
    expect_that!(answer.text(), ends_with("body=Some(40000)"));
}

#[gtest]
#[tokio::test]
async fn refusals_state_outcome_reason_and_status() {
    let cluster = TestCluster::new();
    let server = FakeServer::start(echo).await;
    let record = server.record("archive-1", "archive");
    cluster.zone.serve(record, "vm-1", policy(true, true));
    let entry = cluster.entry("vm-1").await;
    let to = entry.addresses().callers;
    get_until_ok(to, "/archive/k").await;
    for (path, status, reason) in [
        ("/nowhere/k", 404, "unknown-service"),
        ("/archive", 400, "missing-key"),
        ("/", 400, "missing-service"),
        ("/archive/%zz", 400, "malformed-key"),
        ("/a*b/k", 400, "malformed-service"),
    ] {
        let answer = get(to, path).await;
        expect_that!(answer.status.as_u16(), eq(status), "{path}");
        expect_that!(answer.header("chicory-reason"), eq(reason));
        expect_that!(answer.header("chicory-outcome"), eq("not-run"));
        expect_that!(answer.text(), contains_substring(r#""outcome":"not-run""#));
    }
    let request = Request::get("/archive/k")
        .header("host", "test")
        .header("chicory-deadline-ms", "soon");
    let answer = send(to, request.body(HttpBody::empty()).expect("a request")).await;
    expect_that!(answer.header("chicory-reason"), eq("malformed-deadline"));
}

#[gtest]
#[tokio::test]
async fn requests_to_an_unreachable_server_are_refused_as_not_run() {
    let cluster = TestCluster::new();
    let nowhere = crate::support::any_port();
    let record = crate::support::fake_server::record("archive-1", "archive", nowhere);
    cluster.zone.serve(record, "vm-1", policy(true, true));
    let entry = cluster.entry("vm-1").await;
    let answer = get(entry.addresses().callers, "/archive/k").await;
    expect_that!(answer.status, eq(StatusCode::SERVICE_UNAVAILABLE));
    expect_that!(answer.header("chicory-outcome"), eq("not-run"));
    expect_that!(answer.header("retry-after").parse::<u64>(), ok(ge(&1)));
    expect_that!(answer.header("chicory-retry-after-ms"), not(eq("")));
}

#[gtest]
#[tokio::test]
async fn an_order_runs_once_and_a_resend_gets_its_answer() {
    let cluster = TestCluster::new();
    let runs = Arc::new(AtomicUsize::new(0));
    let counter = runs.clone();
    let server = FakeServer::start(move |request| {
        counter.fetch_add(1, Ordering::Relaxed);
        echo(request)
    })
    .await;
    let record = server.record("orders-1", "orders");
    cluster.zone.serve(record, "vm-1", policy(false, false));
    let entry = cluster.entry("vm-1").await;
    let to = entry.addresses().callers;
    let order = || {
        let request = Request::post("/orders/o").header("host", "test");
        let request = request.header("idempotency-key", "order-1");
        request.body(HttpBody::full("tune")).expect("a request")
    };
    let first = loop {
        let answer = send(to, order()).await;
        if answer.status == StatusCode::OK {
            break answer;
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    };
    let again = loop {
        let answer = send(to, order()).await;
        if answer.status != StatusCode::CONFLICT {
            break answer;
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    };
    expect_that!(again.status, eq(StatusCode::OK));
    expect_that!(again.body, eq(&first.body));
    expect_that!(again.header("chicory-outcome"), eq("ran"));
    expect_that!(runs.load(Ordering::Relaxed), eq(1));
}

#[gtest]
#[tokio::test]
async fn the_answer_of_an_order_whose_caller_disconnected_is_stored() {
    let cluster = TestCluster::new();
    let (started, mut starts) = tokio::sync::mpsc::unbounded_channel();
    let (release, released) = tokio::sync::watch::channel(false);
    let server = FakeServer::start(move |_| {
        let started = started.clone();
        let mut released = released.clone();
        async move {
            let _ = started.send(());
            let _ = released.wait_for(|released| *released).await;
            Response::new(HttpBody::full("tuned"))
        }
    })
    .await;
    let record = server.record("orders-1", "orders");
    cluster.zone.serve(record, "vm-1", policy(false, false));
    let entry = cluster.entry("vm-1").await;
    let to = entry.addresses().callers;
    let order = || {
        let request = Request::post("/orders/o").header("host", "test");
        let request = request.header("idempotency-key", "order-1");
        request.body(HttpBody::full("tune")).expect("a request")
    };
    let caller = tokio::spawn(async move {
        loop {
            try_send(to, order()).await;
        }
    });
    starts.recv().await.expect("started");
    caller.abort();
    let _ = caller.await;
    tokio::time::sleep(Duration::from_millis(50)).await;
    release.send(true).expect("released");
    let answer = loop {
        let answer = send(to, order()).await;
        if answer.status != StatusCode::CONFLICT {
            break answer;
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    };
    expect_that!(answer.status, eq(StatusCode::OK));
    expect_that!(answer.text(), eq("tuned"));
    expect_that!(starts.try_recv(), err(anything()));
}

#[gtest]
#[tokio::test]
async fn a_caller_that_disconnects_cancels_the_request_at_the_server() {
    struct Cancelled(tokio::sync::mpsc::UnboundedSender<()>);
    impl Drop for Cancelled {
        fn drop(&mut self) {
            let _ = self.0.send(());
        }
    }
    let cluster = TestCluster::new();
    let (started, mut starts) = tokio::sync::mpsc::unbounded_channel();
    let (cancelled, mut cancels) = tokio::sync::mpsc::unbounded_channel();
    let server = FakeServer::start(move |_| {
        let guard = Cancelled(cancelled.clone());
        let _ = started.send(());
        async move {
            let _guard = guard;
            std::future::pending().await
        }
    })
    .await;
    let record = server.record("archive-1", "archive");
    cluster.zone.serve(record, "vm-1", policy(true, true));
    let _dispatcher = cluster.entry("vm-1").await;
    let entry = cluster.entry("vm-2").await;
    let to = entry.addresses().callers;
    let caller = tokio::spawn(async move {
        loop {
            get(to, "/archive/k").await;
        }
    });
    starts.recv().await.expect("started");
    caller.abort();
    cancels.recv().await.expect("cancelled");
}

#[gtest]
#[tokio::test]
async fn a_planned_stop_finishes_requests_in_flight() {
    let cluster = TestCluster::new();
    let slow_finished = Arc::new(Mutex::new(None));
    let (started, mut starts) = tokio::sync::mpsc::unbounded_channel();
    let finished = slow_finished.clone();
    let server = FakeServer::start(move |request| {
        let _ = started.send(());
        let finished = finished.clone();
        async move {
            if request.uri().path().ends_with("/slow") {
                tokio::time::sleep(Duration::from_millis(300)).await;
                *finished.lock().expect("the lock is not poisoned") = Some(());
            }
            Response::new(HttpBody::full(vec![5; 200_000]))
        }
    })
    .await;
    let record = server.record("archive-1", "archive");
    cluster.zone.serve(record, "vm-1", policy(true, true));
    let entry = cluster.entry("vm-1").await;
    let to = entry.addresses().callers;
    get_until_ok(to, "/archive/k").await;
    starts.recv().await.expect("started");
    let slow = tokio::spawn(async move { get(to, "/archive/k/slow").await });
    starts.recv().await.expect("started");
    entry.request_stop();
    entry.stopped().await;
    let answer = slow.await.expect("joined");
    expect_that!(answer.status, eq(StatusCode::OK));
    expect_that!(answer.body.len(), eq(200_000));
    expect_that!(
        *slow_finished.lock().expect("the lock is not poisoned"),
        some(anything())
    );
}

#[gtest]
#[tokio::test]
async fn a_stop_under_load_completes_every_answer() {
    let cluster = TestCluster::new();
    let server = FakeServer::start(echo).await;
    let record = server.record("archive-1", "archive");
    cluster.zone.serve(record, "vm-1", policy(true, true));
    let _dispatcher = cluster.entry("vm-1").await;
    let mut settings = cluster.settings("vm-2");
    settings.stop_delay = Duration::from_millis(300);
    let entry = cluster.entry_with(settings).await;
    let to = entry.addresses().callers;
    get_until_ok(to, "/archive/k").await;
    // Callers that reuse their connection until an answer closes it.
    let callers: Vec<_> = (0..CALLERS)
        .map(|_| tokio::spawn(call_until_closed(to)))
        .collect();
    tokio::time::sleep(Duration::from_millis(50)).await;
    entry.request_stop();
    entry.stopped().await;
    for caller in callers {
        expect_that!(caller.await, ok(ok(gt(&0))));
    }
}

/// Sends requests over one connection until an answer closes it, and returns their number.
async fn call_until_closed(to: std::net::SocketAddr) -> std::result::Result<u32, SendError> {
    let link = ServerLink::open(&to.to_string(), CONNECT_TIMEOUT, || ()).await;
    let mut link = link.expect("connected");
    let mut calls = 0;
    loop {
        let request = Request::get("/archive/k").header("host", "test");
        let request = request.body(HttpBody::empty()).expect("a request");
        let response = link.send(request).await?;
        let closes = response.headers().contains_key("connection");
        let body = response.into_body().collect().await;
        expect_that!(body, ok(anything()));
        calls += 1;
        if closes {
            return Ok(calls);
        }
        link.ready().await;
    }
}

#[gtest]
#[tokio::test]
async fn callers_that_keep_connecting_do_not_prevent_a_stop() {
    let cluster = TestCluster::new();
    let server = FakeServer::start(echo).await;
    let record = server.record("archive-1", "archive");
    cluster.zone.serve(record, "vm-1", policy(true, true));
    let _dispatcher = cluster.entry("vm-1").await;
    let entry = cluster.entry("vm-2").await;
    let to = entry.addresses().callers;
    get_until_ok(to, "/archive/k").await;
    let refusals = Arc::new(AtomicUsize::new(0));
    let callers: Vec<_> = (0..CALLERS)
        .map(|_| tokio::spawn(call_until_aborted(to, refusals.clone())))
        .collect();
    tokio::time::sleep(Duration::from_millis(50)).await;
    entry.request_stop();
    entry.stopped().await;
    for caller in callers {
        caller.abort();
    }
    // At most one refusal per caller: the request that was open when the listener closed.
    expect_that!(refusals.load(Ordering::Relaxed), le(CALLERS));
}

/// Sends requests over new connections until it is aborted, and counts the refusals of a stopping
/// process.
async fn call_until_aborted(to: std::net::SocketAddr, refusals: Arc<AtomicUsize>) {
    loop {
        let request = Request::get("/archive/k").header("host", "test");
        let request = request.body(HttpBody::empty()).expect("a request");
        let answer = try_send(to, request).await;
        if answer.is_some_and(|answer| answer.header("chicory-reason") == "stopping") {
            refusals.fetch_add(1, Ordering::Relaxed);
        }
        tokio::task::yield_now().await;
    }
}
