//! Announcements of stand-in backend servers and the grants that they get in answer.

mod support;

use std::rc::Rc;
use std::time::Duration;

use chicory_standin::http;
use chicory_standin::server::{
    AnnounceAnswer, Behaviour, ServerConfigBuilder, ServerState, start_server,
};
use chicory_types::slot_of_key;
use googletest::prelude::*;
use http_body_util::Empty;
use hyper::Request;
use hyper_util::rt::TokioIo;
use support::{FakeEntry, granting_all_slots};
use tokio::net::TcpStream;
use tokio::task::{LocalSet, spawn_local};

const LONG_LEASE_MS: u64 = 60_000;
const SHORT_LEASE_MS: u64 = 200;
const TIMEOUT: Duration = Duration::from_secs(20);
const KEY: &str = "k1";

fn block_on<T>(test: impl Future<Output = T>) -> T {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("the runtime can be built");
    let test = async { tokio::time::timeout(TIMEOUT, test).await };
    LocalSet::new()
        .block_on(&runtime, test)
        .expect("the test ends within its time limit")
}

async fn start(announce: &[&FakeEntry]) -> Rc<ServerState> {
    let announce = announce.iter().map(|entry| entry.address.clone()).collect();
    let config = ServerConfigBuilder::new("archive", "bodega-sur").with(|config| {
        config.announce = announce;
        config.checks_grants = true;
        config.announce_timeout = Duration::from_millis(100);
    });
    let running = start_server(&config.build())
        .await
        .expect("the server starts");
    running.servers[0].clone()
}

async fn wait_until(mut holds: impl AsyncFnMut() -> bool) {
    while !holds().await {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
}

/// Sends a request with `token` for the slot of the key and returns its status.
async fn request_status(server: &ServerState, token: &str) -> u16 {
    let stream = TcpStream::connect(&server.address)
        .await
        .expect("the server accepts the connection");
    let handshake = hyper::client::conn::http1::handshake(TokioIo::new(stream));
    let (mut sender, connection) = handshake.await.expect("the handshake succeeds");
    spawn_local(connection);
    let request = Request::builder()
        .uri(format!("/archive/{KEY}"))
        .header("host", "archive")
        .header(http::SLOT, slot_of_key(KEY))
        .header(http::TOKEN, token)
        .body(Empty::<bytes::Bytes>::new());
    let response = sender
        .send_request(request.expect("the request is valid"))
        .await;
    response.expect("an answer arrives").status().as_u16()
}

#[gtest]
fn an_announcement_gets_grants_and_a_later_one_reports_their_version() {
    block_on(async {
        let entry = FakeEntry::start(granting_all_slots(LONG_LEASE_MS)).await;
        let server = start(&[&entry]).await;
        wait_until(async || entry.received.borrow().len() >= 2).await;
        let last = entry.last().expect("an announcement was received");
        expect_that!(last.service, eq("archive"));
        expect_that!(last.address, eq(&server.address));
        expect_that!(last.known_grants_version, eq(1));
        expect_that!(request_status(&server, "3.41").await, eq(200));
        expect_that!(request_status(&server, "3.40").await, eq(409));
    });
}

#[gtest]
fn the_dispatcher_gets_the_renewals() {
    block_on(async {
        let dispatcher = FakeEntry::start(granting_all_slots(LONG_LEASE_MS)).await;
        let redirect = AnnounceAnswer {
            dispatcher: Some(dispatcher.address.clone()),
            grants_version: 0,
            grants: None,
            ..granting_all_slots(0)
        };
        dispatcher.answer.borrow_mut().dispatcher = Some(dispatcher.address.clone());
        let entry = FakeEntry::start(redirect).await;
        let server = start(&[&entry]).await;
        wait_until(async || dispatcher.received.borrow().len() >= 3).await;
        expect_that!(entry.received.borrow().len(), eq(1));
        expect_that!(request_status(&server, "3.41").await, eq(200));
    });
}

#[gtest]
fn another_entry_process_is_used_once_one_is_unresponsive() {
    block_on(async {
        let unresponsive = FakeEntry::start(granting_all_slots(LONG_LEASE_MS)).await;
        unresponsive.is_unresponsive.set(true);
        let other = FakeEntry::start(granting_all_slots(LONG_LEASE_MS)).await;
        let server = start(&[&unresponsive, &other]).await;
        wait_until(async || !other.received.borrow().is_empty()).await;
        wait_until(async || request_status(&server, "3.41").await == 200).await;
    });
}

#[gtest]
fn grants_end_with_their_lease() {
    block_on(async {
        let entry = FakeEntry::start(granting_all_slots(SHORT_LEASE_MS)).await;
        let server = start(&[&entry]).await;
        wait_until(async || request_status(&server, "3.41").await == 200).await;
        entry.is_unresponsive.set(true);
        wait_until(async || request_status(&server, "3.41").await == 409).await;
        entry.is_unresponsive.set(false);
        wait_until(async || request_status(&server, "3.41").await == 200).await;
    });
}

#[gtest]
fn a_frozen_server_does_not_renew() {
    block_on(async {
        let entry = FakeEntry::start(granting_all_slots(LONG_LEASE_MS)).await;
        let server = start(&[&entry]).await;
        wait_until(async || !entry.received.borrow().is_empty()).await;
        server.apply(Behaviour::Freeze);
        let in_flight_time = Duration::from_millis(150);
        tokio::time::sleep(in_flight_time).await;
        let before = entry.received.borrow().len();
        tokio::time::sleep(in_flight_time).await;
        expect_that!(entry.received.borrow().len(), eq(before));
        server.apply(Behaviour::Thaw);
        wait_until(async || entry.received.borrow().len() > before).await;
    });
}

#[gtest]
fn draining_is_announced() {
    block_on(async {
        let entry = FakeEntry::start(granting_all_slots(LONG_LEASE_MS)).await;
        let server = start(&[&entry]).await;
        wait_until(async || !entry.received.borrow().is_empty()).await;
        server.apply(Behaviour::Drain);
        wait_until(async || entry.last().is_some_and(|last| last.draining)).await;
    });
}
