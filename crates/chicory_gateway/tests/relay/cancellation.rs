//! Tests that the end of a caller, or of its entry VM, reaches the server.

use googletest::prelude::*;

use crate::site::{DEADLINE, Site, client, get, send_to};

#[gtest]
#[tokio::test]
async fn request_that_is_cancelled_before_its_answer_is_closed_at_the_server() {
    let site = Site::start().await;
    let client = client();
    let mut connection = tokio::select! {
        _ = send_to(&site, &client, get) => panic!("nothing was answered"),
        connection = async {
            let mut connection = site.server.accept().await;
            connection.read_request().await;
            connection
        } => connection,
    };
    let closed = tokio::time::timeout(DEADLINE, connection.wait_for_close()).await;
    expect_that!(closed, ok(anything()));
}

#[gtest]
#[tokio::test]
async fn request_that_is_cancelled_within_its_answer_is_closed_at_the_server() {
    let site = Site::start().await;
    let client = client();
    let (sent, mut connection) = tokio::join!(send_to(&site, &client, get), async {
        let mut connection = site.server.accept().await;
        connection.read_request().await;
        let answer = b"HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\nbegin";
        connection.write(answer).await;
        connection
    });
    drop(sent.expect("an answer"));
    let closed = tokio::time::timeout(DEADLINE, connection.wait_for_close()).await;
    expect_that!(closed, ok(anything()));
}
