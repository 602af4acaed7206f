//! Tests of a server that writes an earlier refusal once more on a connection that is kept.

use std::time::Duration;

use chicory_gateway::AttemptOutcome;
use googletest::prelude::*;

use crate::site::{DEADLINE, Site, client, post, read_body, send_to, send_to_as};

/// Id of an earlier request. The requests of a [`Site`] have another one.
const EARLIER: &str = "a-0";

fn refusal(id: &str) -> String {
    format!("HTTP/1.1 503 Busy\r\nRequest-Id: {id}\r\nContent-Length: 0\r\n\r\n")
}

/// Guards against a connection on which all later requests get the answer to the one before.
#[gtest]
#[tokio::test]
async fn relay_closes_a_connection_that_carries_an_earlier_refusal_once_more() {
    let repeated = refusal(EARLIER);
    for parts in [
        vec![&repeated[..]],
        vec![&repeated[..20], &repeated[20..]],
        vec![&repeated[..], &repeated[..]],
    ] {
        let site = Site::start().await;
        let client = client();
        let server = async {
            let mut connection = site.server.accept().await;
            connection.read_request().await;
            connection.write(refusal("a-1").as_bytes()).await;
            connection.read_request().await;
            for part in &parts {
                connection.write(part.as_bytes()).await;
                tokio::time::sleep(Duration::from_millis(20)).await;
            }
            connection
        };
        let orders = async {
            let (link, refused) = send_to(&site, &client, || post(b"1")).await?;
            expect_that!(refused.status().as_u16(), eq(503));
            expect_that!(read_body(refused).await, some(eq("")));
            client.keep(&site.peer.vm, link);
            // The refused request itself would be sent on another connection.
            send_to_as("a-2", &site, &client, || post(b"2")).await
        };
        let (sent, mut connection) = tokio::join!(orders, server);
        expect_that!(sent.err(), some(eq(AttemptOutcome::Garbled)), "{parts:?}");
        let closed = tokio::time::timeout(DEADLINE, connection.wait_for_close());
        expect_that!(closed.await.is_ok(), eq(true), "{parts:?}");
        let next = async {
            let mut connection = site.server.accept().await;
            let request = connection.read_request().await;
            let head = "HTTP/1.1 200 OK\r\nRequest-Id: a-1\r\nContent-Length: 5\r\n\r\n";
            connection.write(head.as_bytes()).await;
            connection.write(&request.body.repeat(5)).await;
            connection
        };
        let (sent, _connection) = tokio::join!(send_to(&site, &client, || post(b"3")), next);
        let (_link, answer) = sent.expect("an answer");
        expect_that!(read_body(answer).await, some(eq("33333")), "{parts:?}");
    }
}

/// Guards against a request that runs although its caller was told otherwise, because the relay peer
/// takes a second copy of an earlier refusal of the same request for its answer.
#[gtest]
#[tokio::test]
async fn relay_sends_a_refused_request_again_on_another_connection() {
    let site = Site::start().await;
    let client = client();
    let server = async {
        let mut first = site.server.accept().await;
        first.read_request().await;
        first.write(refusal("a-1").as_bytes()).await;
        let mut second = tokio::select! {
            _ = first.read_request() => return None,
            second = site.server.accept() => second,
        };
        second.read_request().await;
        let answer = "HTTP/1.1 200 OK\r\nRequest-Id: a-1\r\nContent-Length: 2\r\n\r\nok";
        second.write(answer.as_bytes()).await;
        Some((first, second))
    };
    let orders = async {
        let (link, refused) = send_to(&site, &client, || post(b"1")).await?;
        expect_that!(refused.status().as_u16(), eq(503));
        expect_that!(read_body(refused).await, some(eq("")));
        client.keep(&site.peer.vm, link);
        send_to(&site, &client, || post(b"1")).await
    };
    let (sent, connections) = tokio::join!(orders, server);
    expect_that!(connections.is_some(), eq(true));
    let (_link, answer) = sent.expect("an answer");
    expect_that!(read_body(answer).await, some(eq("ok")));
}
