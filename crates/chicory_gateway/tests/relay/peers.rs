//! Tests of entry VMs that end, or answer with something else, while they relay.

use std::time::Duration;

use chicory_directory::RelayPeer;
use chicory_gateway::AttemptOutcome;
use googletest::prelude::*;

use crate::backend_server::BackendServer;
use crate::site::{
    DEADLINE, bind, client, free_address, get, peer_at, post, read_body, send_once, target_at,
};

/// Starts an entry VM whose connections the test handles itself.
async fn start_peer() -> (BackendServer, RelayPeer) {
    let entry_vm = BackendServer::start().await;
    let peer = peer_at(entry_vm.address);
    (entry_vm, peer)
}

#[gtest]
#[tokio::test]
async fn nothing_is_sent_to_an_entry_vm_that_has_ended() {
    // The port is bound, but nothing listens on it.
    let (_socket, address) = bind();
    let (client, peer) = (client(), peer_at(address));
    let target = target_at(free_address());
    let sent = send_once(&client, &peer, &target, || post(b"order"));
    expect_that!(sent.await.err(), some(eq(AttemptOutcome::RelayUnavailable)));
}

#[gtest]
#[tokio::test]
async fn order_may_have_run_if_the_entry_vm_ends_after_it_was_sent() {
    let (entry_vm, peer) = start_peer().await;
    let (client, target) = (client(), target_at(free_address()));
    let ends = async {
        let mut connection = entry_vm.accept().await;
        connection.read_request().await
    };
    let order = || post(b"order");
    let (sent, request) = tokio::join!(send_once(&client, &peer, &target, order), ends);
    expect_that!(sent.err(), some(eq(AttemptOutcome::RelayBroken)));
    expect_that!(request.body, eq(b"order"));
    // It is not sent again.
    expect_that!(entry_vm.has_connection().await, eq(false));
}

#[gtest]
#[tokio::test]
async fn answer_that_states_no_outcome_is_no_answer_of_the_server() {
    let (entry_vm, peer) = start_peer().await;
    let (client, target) = (client(), target_at(free_address()));
    for headers in ["", "chicory-relay-outcome: unheard-of\r\n"] {
        let answers = async {
            let mut connection = entry_vm.accept().await;
            connection.read_request().await;
            let answer = format!("HTTP/1.1 200 OK\r\n{headers}Content-Length: 0\r\n\r\n");
            connection.write(answer.as_bytes()).await;
            connection
        };
        let (sent, _connection) = tokio::join!(send_once(&client, &peer, &target, get), answers);
        expect_that!(
            sent.err(),
            some(eq(AttemptOutcome::RelayBroken)),
            "{headers}"
        );
    }
}

#[gtest]
#[tokio::test]
async fn kept_connection_carries_the_next_request_until_it_is_closed() {
    const ANSWER: &[u8] =
        b"HTTP/1.1 200 OK\r\nchicory-relay-outcome: answer\r\nContent-Length: 2\r\n\r\nok";
    let (entry_vm, peer) = start_peer().await;
    let (client, target) = (client(), target_at(free_address()));
    let (sent, mut connection) = tokio::join!(send_once(&client, &peer, &target, get), async {
        let mut connection = entry_vm.accept().await;
        connection.read_request().await;
        connection.write(ANSWER).await;
        connection
    });
    let (mut link, response) = sent.expect("an answer");
    expect_that!(read_body(response).await, some(eq("ok")));
    expect_that!(link.ready().await, eq(true));
    client.keep(&peer.vm, link);
    let (sent, ()) = tokio::join!(send_once(&client, &peer, &target, get), async {
        connection.read_request().await;
        connection.write(ANSWER).await;
    });
    let (mut link, response) = sent.expect("an answer");
    expect_that!(read_body(response).await, some(eq("ok")));
    expect_that!(link.ready().await, eq(true));
    // The entry VM ends between two requests. The next one goes out on a new connection.
    drop(connection);
    while link.is_ready() {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    client.keep(&peer.vm, link);
    let (sent, _connection) = tokio::join!(send_once(&client, &peer, &target, get), async {
        let mut connection = entry_vm.accept().await;
        connection.read_request().await;
        connection.write(ANSWER).await;
        connection
    });
    expect_that!(sent.is_ok(), eq(true));
}

/// Without relayed requests there is no traffic between entry VMs.
#[gtest]
#[tokio::test]
async fn idle_connection_is_closed_after_some_seconds() {
    const ANSWER: &[u8] =
        b"HTTP/1.1 200 OK\r\nchicory-relay-outcome: answer\r\nContent-Length: 0\r\n\r\n";
    let (entry_vm, peer) = start_peer().await;
    let (client, target) = (client(), target_at(free_address()));
    let (sent, mut connection) = tokio::join!(send_once(&client, &peer, &target, get), async {
        let mut connection = entry_vm.accept().await;
        connection.read_request().await;
        connection.write(ANSWER).await;
        connection
    });
    let (mut link, _) = sent.expect("an answer");
    expect_that!(link.ready().await, eq(true));
    client.keep(&peer.vm, link);
    let prunes = async {
        loop {
            client.prune();
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
    };
    let closed = tokio::time::timeout(DEADLINE, async {
        tokio::select! {
            () = connection.wait_for_close() => {}
            () = prunes => {}
        }
    });
    expect_that!(closed.await, ok(anything()));
}
