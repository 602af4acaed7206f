//! Tests of answers whose heads are incomplete or can be read in several ways.

use chicory_gateway::AttemptOutcome;
use googletest::prelude::*;

use crate::site::{Sent, Site, client, post, read_body, send_to};

/// Relays an order to a server that writes this and closes the connection.
async fn relay_answer(answer: &[u8]) -> Sent {
    let site = Site::start().await;
    let client = client();
    let server = async {
        let mut connection = site.server.accept().await;
        connection.read_request().await;
        connection.write(answer).await;
    };
    let (sent, ()) = tokio::join!(send_to(&site, &client, || post(b"order")), server);
    sent
}

#[gtest]
#[tokio::test]
async fn answer_that_ends_in_its_head_is_no_success() {
    let head = "HTTP/1.1 200 OK\r\nSeal: s\r\nContent-Length: 5\r\n\r\n";
    for end in [4, 9, 13, 15, 17, 20, 26, 40, 45, 46] {
        let part = &head.as_bytes()[..end];
        let outcome = relay_answer(part).await.err();
        expect_that!(
            outcome,
            some(any![
                eq(AttemptOutcome::Broken),
                eq(AttemptOutcome::Garbled)
            ]),
            "{:?}",
            &head[..end]
        );
    }
}

#[gtest]
#[tokio::test]
async fn answer_with_two_lengths_or_a_folded_header_is_no_success() {
    for head in [
        "Content-Length: 2\r\nContent-Length: 5\r\n\r\nwhole",
        "Content-Length: 5\r\nContent-Length: 2\r\n\r\nwhole",
        "Content-Length: 5\r\nSeal: a\r\n b\r\n\r\nwhole",
        "Content-Length: 5 2\r\n\r\nwhole",
    ] {
        let answer = format!("HTTP/1.1 200 OK\r\n{head}");
        let outcome = relay_answer(answer.as_bytes()).await.err();
        expect_that!(outcome, some(eq(AttemptOutcome::Garbled)), "{head:?}");
    }
}

#[gtest]
#[tokio::test]
async fn answer_without_a_valid_status_is_not_relayed() {
    for status in ["000", "099", "0200", "abc", "-1", "101", "600", "999"] {
        let answer = format!("HTTP/1.1 {status} Status\r\nContent-Length: 5\r\n\r\nwhole");
        let outcome = relay_answer(answer.as_bytes()).await.err();
        expect_that!(outcome, some(eq(AttemptOutcome::Garbled)), "{status}");
    }
}

#[gtest]
#[tokio::test]
async fn answer_after_informational_ones_is_passed_on_whole() {
    let informational = "HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n";
    let whole = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole";
    let answer = format!("{informational}{informational}{whole}");
    let (_link, response) = relay_answer(answer.as_bytes()).await.expect("an answer");
    expect_that!(response.status().as_u16(), eq(200));
    expect_that!(read_body(response).await, some(eq("whole")));
    let outcome = relay_answer(informational.as_bytes()).await.err();
    expect_that!(outcome, some(eq(AttemptOutcome::Broken)));
}
