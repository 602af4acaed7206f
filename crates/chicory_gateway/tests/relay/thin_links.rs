//! Tests of relayed requests on thin links.

use std::time::Duration;

use googletest::prelude::*;

use crate::site::{Site, client, post, send_to};

static LARGE_BODY: [u8; 64_000] = [b'x'; 64_000];

/// Guards against a link that counts as occupied by the request that asks for it. Each send is
/// repeated until the request is taken.
#[gtest]
#[tokio::test]
async fn idle_thin_link_takes_a_body_that_occupies_it_for_long() {
    let site = Site::start_with_thin_link(100_000.0).await;
    let client = client();
    let server = async {
        let mut connection = site.server.accept().await;
        let request = connection.read_request().await;
        let answer = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
        connection.write(answer).await;
        request.body.len()
    };
    let relayed = async { tokio::join!(send_to(&site, &client, || post(&LARGE_BODY)), server) };
    let ended = tokio::time::timeout(Duration::from_secs(10), relayed).await;
    let (sent, received_bytes) = ended.expect("an end");
    expect_that!(sent.is_ok(), eq(true));
    expect_that!(received_bytes, eq(LARGE_BODY.len()));
}
