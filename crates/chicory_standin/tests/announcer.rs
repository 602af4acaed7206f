//! Announcements of stand-in backend servers and the grants that they bring.

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
use support::{FakeEntry, granting};
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
        .expect("a runtime");
    let test = async { tokio::time::timeout(TIMEOUT, test).await };
    LocalSet::new().block_on(&runtime, test).expect("in time")
}

async fn start(announce: &[&FakeEntry]) -> Rc<ServerState> {
    let announce = announce.iter().map(|entry| entry.address.clone()).collect();
    let config = ServerConfigBuilder::new("archive", "bodega-sur").with(|config| {
        config.announce = announce;
        config.checks_grants = true;
        config.announce_timeout = Duration::from_millis(100);
    });
    let running = start_server(&config.build()).await.expect("it starts");
    running.servers[0].clone()
}

async fn until(mut holds: impl AsyncFnMut() -> bool) {
    while !holds().await {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
}

/// Status of a request with `token` for the slot of the key.
async fn ask(server: &ServerState, token: &str) -> u16 {
    let stream = TcpStream::connect(&server.address)
        .await
        .expect("a connection");
    let handshake = hyper::client::conn::http1::handshake(TokioIo::new(stream));
    let (mut sender, connection) = handshake.await.expect("a connection");
    spawn_local(connection);
    let request = Request::builder()
        .uri(format!("/archive/{KEY}"))
        .header("host", "archive")
        .header(http::SLOT, slot_of_key(KEY))
        .header(http::TOKEN, token)
        .body(Empty::<bytes::Bytes>::new());
    let response = sender.send_request(request.expect("a request")).await;
    response.expect("an answer").status().as_u16()
}

#[gtest]
fn an_announcement_brings_grants_and_a_later_one_names_their_version() {
    block_on(async {
        let entry = FakeEntry::start(granting(LONG_LEASE_MS)).await;
        let server = start(&[&entry]).await;
        until(async || entry.received.borrow().len() >= 2).await;
        let last = entry.last().expect("an announcement");
        expect_that!(last.service, eq("archive"));
        expect_that!(last.address, eq(&server.address));
        expect_that!(last.known_grants_version, eq(1));
        expect_that!(ask(&server, "3.41").await, eq(200));
        expect_that!(ask(&server, "3.40").await, eq(409));
    });
}

#[gtest]
fn the_dispatcher_gets_the_renewals() {
    block_on(async {
        let dispatcher = FakeEntry::start(granting(LONG_LEASE_MS)).await;
        let elsewhere = AnnounceAnswer {
            dispatcher: Some(dispatcher.address.clone()),
            grants_version: 0,
            grants: None,
            ..granting(0)
        };
        dispatcher.answer.borrow_mut().dispatcher = Some(dispatcher.address.clone());
        let entry = FakeEntry::start(elsewhere).await;
        let server = start(&[&entry]).await;
        until(async || dispatcher.received.borrow().len() >= 3).await;
        expect_that!(entry.received.borrow().len(), eq(1));
        expect_that!(ask(&server, "3.41").await, eq(200));
    });
}

#[gtest]
fn another_entry_process_is_asked_once_one_falls_silent() {
    block_on(async {
        let silent = FakeEntry::start(granting(LONG_LEASE_MS)).await;
        silent.is_silent.set(true);
        let other = FakeEntry::start(granting(LONG_LEASE_MS)).await;
        let server = start(&[&silent, &other]).await;
        until(async || !other.received.borrow().is_empty()).await;
        until(async || ask(&server, "3.41").await == 200).await;
    });
}

#[gtest]
fn grants_end_with_their_lease() {
    block_on(async {
        let entry = FakeEntry::start(granting(SHORT_LEASE_MS)).await;
        let server = start(&[&entry]).await;
        until(async || ask(&server, "3.41").await == 200).await;
        entry.is_silent.set(true);
        until(async || ask(&server, "3.41").await == 409).await;
        entry.is_silent.set(false);
        until(async || ask(&server, "3.41").await == 200).await;
    });
}

#[gtest]
fn a_frozen_server_does_not_renew() {
    block_on(async {
        let entry = FakeEntry::start(granting(LONG_LEASE_MS)).await;
        let server = start(&[&entry]).await;
        until(async || !entry.received.borrow().is_empty()).await;
        server.apply(Behaviour::Freeze);
        let in_flight = Duration::from_millis(150);
        tokio::time::sleep(in_flight).await;
        let before = entry.received.borrow().len();
        tokio::time::sleep(in_flight).await;
        expect_that!(entry.received.borrow().len(), eq(before));
        server.apply(Behaviour::Thaw);
        until(async || entry.received.borrow().len() > before).await;
    });
}

#[gtest]
fn draining_is_announced() {
    block_on(async {
        let entry = FakeEntry::start(granting(LONG_LEASE_MS)).await;
        let server = start(&[&entry]).await;
        until(async || !entry.received.borrow().is_empty()).await;
        server.apply(Behaviour::Drain);
        until(async || entry.last().is_some_and(|last| last.draining)).await;
    });
}
