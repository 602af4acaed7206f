//! Tests of servers that leave, or become known, while requests for them are relayed.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use chicory_directory::{DirectoryUpdate, ServerRecord, ServerState};
use chicory_gateway::RelayHead;
use chicory_ranges::ServerIncarnation;
use googletest::prelude::*;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::watch;

use crate::backend_server::BackendServer;
use crate::refusals::{head_for, send_raw, with_head};
use crate::site::{DEADLINE, Site, incarnation, post, server_record};

const BODY: &[u8] = b"an order whose second half comes late";

/// An order of which the entry VM has the first half.
struct Upload {
    stream: TcpStream,
}

impl Upload {
    async fn begin(to: SocketAddr, head: &RelayHead) -> Self {
        let mut request = post(BODY);
        head.write(request.headers_mut()).expect("headers");
        let length = BODY.len();
        let mut text = format!("POST /orders/x HTTP/1.1\r\ncontent-length: {length}\r\n");
        for (name, value) in request.headers() {
            let value = value.to_str().expect("a text");
            text.extend([name.as_str(), ": ", value, "\r\n"]);
        }
        text.push_str("\r\n");
        let mut stream = TcpStream::connect(to).await.expect("a connection");
        for part in [text.as_bytes(), &BODY[..BODY.len() / 2]] {
            stream.write_all(part).await.expect("an open connection");
        }
        Self { stream }
    }

    /// Sends the second half. Returns the outcome that the entry VM states.
    async fn finish(mut self) -> String {
        let rest = &BODY[BODY.len() / 2..];
        self.stream
            .write_all(rest)
            .await
            .expect("an open connection");
        let mut bytes = vec![0; 4096];
        let read = tokio::time::timeout(DEADLINE, self.stream.read(&mut bytes)).await;
        let read_bytes = read.expect("an end").expect("an answer");
        let answer = String::from_utf8_lossy(&bytes[..read_bytes]);
        let mut lines = answer.lines();
        let outcome = lines.find_map(|line| line.strip_prefix("chicory-relay-outcome: "));
        outcome.expect("an outcome").to_owned()
    }
}

/// Answers all requests. Returns whether one of them was an order.
fn answer_all(server: Arc<BackendServer>) -> watch::Receiver<bool> {
    let (has_order, receiver) = watch::channel(false);
    tokio::spawn(async move {
        loop {
            let mut connection = server.accept().await;
            let has_order = has_order.clone();
            tokio::spawn(async move {
                let request = connection.read_request().await;
                if request.head.starts_with("POST") {
                    has_order.send_replace(true);
                }
                let answer = b"HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 2\r\n\r\nok";
                connection.write(answer).await;
            });
        }
    });
    receiver
}

/// Sends short requests until the entry VM relays them, or until it does not.
async fn wait_until_relayed(to: SocketAddr, head: &RelayHead, is_relayed: bool) {
    let wait = async {
        loop {
            let answer = send_raw(to, || with_head(head)).await;
            if (answer.headers()["chicory-relay-outcome"] == "answer") == is_relayed {
                return;
            }
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    };
    let ended = tokio::time::timeout(DEADLINE, wait).await;
    assert!(
        ended.is_ok(),
        "requests for the server are relayed: {}",
        !is_relayed
    );
}

/// Changes the directory in the middle of an order, and waits until short requests for the server
/// are relayed or not. Returns the outcome of the order, and whether the server got it.
async fn order_during(
    change: impl Fn(ServerRecord) -> DirectoryUpdate,
    head: impl Fn(RelayHead) -> RelayHead,
    is_relayed: bool,
) -> (String, bool) {
    loop {
        let site = Site::start().await;
        let has_order = answer_all(site.server.clone());
        let (peer, server) = (site.peer.address, site.server.address);
        let head = head(head_for(server));
        wait_until_relayed(peer, &head, !is_relayed).await;
        let upload = Upload::begin(peer, &head).await;
        let mut update = change(server_record(server));
        // An entry VM relays only while it reaches a server that accepts new work.
        update.servers.push(ServerRecord {
            incarnation: ServerIncarnation::new("i-3", 7),
            ..server_record(server)
        });
        site.updates.send_replace(update);
        wait_until_relayed(peer, &head, is_relayed).await;
        let outcome = upload.finish().await;
        // An entry VM that gets little processor time counts as overloaded now and then.
        if outcome != "busy" {
            let has_order = *has_order.borrow();
            return (outcome, has_order);
        }
    }
}

fn update() -> DirectoryUpdate {
    DirectoryUpdate {
        version: 2,
        ..DirectoryUpdate::default()
    }
}

/// Guards against orders that are sent to a server which left while their bodies were read.
#[gtest]
#[tokio::test]
async fn server_that_is_removed_while_a_body_is_read_gets_nothing() {
    let change = |_| DirectoryUpdate {
        removed: vec![incarnation()],
        ..update()
    };
    let (outcome, has_order) = order_during(change, |head| head, false).await;
    expect_that!(outcome, eq("unreachable"));
    expect_that!(has_order, eq(false));
}

/// Guards against orders that are sent to a server which ended while their bodies were read.
#[gtest]
#[tokio::test]
async fn server_that_starts_again_while_a_body_is_read_gets_nothing() {
    let change = |mut record: ServerRecord| {
        record.incarnation.started_at_ms += 1;
        DirectoryUpdate {
            servers: vec![record],
            ..update()
        }
    };
    let (outcome, has_order) = order_during(change, |head| head, false).await;
    expect_that!(outcome, eq("unreachable"));
    expect_that!(has_order, eq(false));
}

/// Guards against orders that are sent to a draining server after its grace, as the bodies were
/// still being read then.
#[gtest]
#[tokio::test]
async fn server_that_drains_while_a_body_is_read_gets_nothing_after_its_grace() {
    let change = |mut record: ServerRecord| {
        record.state = ServerState::Draining;
        DirectoryUpdate {
            servers: vec![record],
            ..update()
        }
    };
    let (outcome, has_order) = order_during(change, |head| head, false).await;
    expect_that!(outcome, eq("unreachable"));
    expect_that!(has_order, eq(false));
}

/// Guards against refusals of orders for a new server by an entry VM that learns of it later than
/// the one of the caller.
#[gtest]
#[tokio::test]
async fn server_that_becomes_known_while_a_body_is_read_gets_the_order() {
    let new_server = ServerIncarnation::new("i-2", 7);
    let change = |mut record: ServerRecord| {
        record.incarnation = new_server.clone();
        DirectoryUpdate {
            servers: vec![record],
            ..update()
        }
    };
    let head = |head| RelayHead {
        server: new_server.clone(),
        ..head
    };
    let (outcome, has_order) = order_during(change, head, true).await;
    expect_that!(outcome, eq("answer"));
    expect_that!(has_order, eq(true));
}

/// Guards against requests that are sent to a server which left while a connection to it was opened.
#[gtest]
#[tokio::test]
async fn server_that_is_removed_while_a_connection_settles_gets_nothing() {
    loop {
        let site = Site::start().await;
        let (peer, server) = (site.peer.address, site.server.address);
        let head = RelayHead {
            settle_time: Duration::from_secs(5),
            ..head_for(server)
        };
        let upload = Upload::begin(peer, &head).await;
        let (accepting, updates) = (site.server.clone(), site.updates.clone());
        let removed = tokio::spawn(async move {
            let mut connection = accepting.accept().await;
            let removed = DirectoryUpdate {
                removed: vec![incarnation()],
                ..update()
            };
            updates.send_replace(removed);
            connection.wait_for_close().await;
        });
        let outcome = upload.finish().await;
        if outcome != "busy" {
            expect_that!(outcome, eq("unreachable"));
            removed.await.expect("a connection without a request");
            return;
        }
    }
}
