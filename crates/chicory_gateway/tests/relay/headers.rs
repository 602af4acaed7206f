//! Tests of the headers that entry VMs add to relayed requests.

use std::net::SocketAddr;
use std::time::Duration;

use chicory_gateway::{AttemptOutcome, RelayHead, RelayHeadError, RelayOutcome};
use chicory_ranges::ServerIncarnation;
use googletest::prelude::*;
use hyper::http::HeaderMap;

use crate::site::{Site, client, get, send_to};

fn head() -> RelayHead {
    RelayHead {
        from: "entry-1".into(),
        request: Some("a-1".into()),
        server: ServerIncarnation::new("i-ü", 7),
        address: SocketAddr::from(([10, 0, 0, 1], 8080)),
        attempt_time: Duration::from_millis(1500),
        caller_time: Duration::from_secs(2),
        connect_timeout: Duration::from_millis(300),
        max_idle: Duration::from_secs(2),
        settle_time: Duration::from_millis(5),
    }
}

#[gtest]
fn headers_that_were_written_are_read_and_removed() {
    for request in [Some("a-1".to_owned()), None] {
        let head = RelayHead { request, ..head() };
        let mut headers = HeaderMap::new();
        headers.insert("x-caller", 1.into());
        head.write(&mut headers).expect("headers");
        expect_that!(RelayHead::take(&mut headers), ok(eq(&head)));
        expect_that!(headers.len(), eq(1));
    }
}

#[gtest]
fn headers_of_a_caller_under_the_same_names_are_replaced() {
    let head = RelayHead {
        request: None,
        ..head()
    };
    let mut headers = HeaderMap::new();
    for name in ["chicory-relay-server", "chicory-relay-request"] {
        headers.append(name, "forged".parse().expect("a value"));
        headers.append(name, "twice".parse().expect("a value"));
    }
    head.write(&mut headers).expect("headers");
    expect_that!(RelayHead::take(&mut headers), ok(eq(&head)));
}

#[gtest]
fn longest_times_are_bounded() {
    let head = RelayHead {
        caller_time: Duration::MAX,
        ..head()
    };
    let mut headers = HeaderMap::new();
    head.write(&mut headers).expect("headers");
    let read = RelayHead::take(&mut headers).expect("headers");
    expect_that!(read.caller_time, eq(Duration::from_hours(24)));
}

#[gtest]
fn names_that_no_header_can_carry_are_a_typed_error() {
    let head = RelayHead {
        server: ServerIncarnation::new("i-1\r\nx: y", 7),
        ..head()
    };
    let written = head.write(&mut HeaderMap::new());
    let name = "chicory-relay-server";
    expect_that!(written, err(eq(RelayHeadError::Malformed { name })));
}

#[gtest]
fn outcomes_have_names_that_can_be_read_back() {
    let outcomes = [
        (RelayOutcome::Answer, None),
        (
            RelayOutcome::Unreachable,
            Some(AttemptOutcome::UnreachableFromRelay),
        ),
        (
            RelayOutcome::RefusedByServer,
            Some(AttemptOutcome::UnreachableFromRelay),
        ),
        (
            RelayOutcome::TurnedAway,
            Some(AttemptOutcome::ConnectionRejected),
        ),
        (RelayOutcome::Broken, Some(AttemptOutcome::Broken)),
        (RelayOutcome::Malformed, Some(AttemptOutcome::Garbled)),
        (RelayOutcome::Busy, Some(AttemptOutcome::RefusedByRelay)),
        (RelayOutcome::CutOff, Some(AttemptOutcome::RefusedByRelay)),
        (RelayOutcome::Stopping, Some(AttemptOutcome::RefusedByRelay)),
        (
            RelayOutcome::UnknownServer,
            Some(AttemptOutcome::RefusedByRelay),
        ),
        (
            RelayOutcome::BadRequest,
            Some(AttemptOutcome::RefusedByRelay),
        ),
    ];
    for (outcome, attempt_outcome) in outcomes {
        let name = outcome.as_str().as_bytes();
        expect_that!(RelayOutcome::named(name), some(eq(outcome)));
        expect_that!(outcome.attempt_outcome(), eq(attempt_outcome));
    }
    expect_that!(RelayOutcome::named(b"answers"), none());
}

/// A caller may send as many headers as the HTTP library takes.
#[gtest]
#[tokio::test]
async fn request_with_the_most_headers_of_a_caller_is_relayed() {
    let site = Site::start().await;
    let client = client();
    let request = || {
        let mut request = get();
        for index in request.headers().len()..100 {
            let name = format!("x-{index}");
            let name: hyper::http::HeaderName = name.parse().expect("a name");
            request.headers_mut().insert(name, 1.into());
        }
        request
    };
    let server = async {
        let mut connection = site.server.accept().await;
        let request = connection.read_request().await;
        let answer = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
        connection.write(answer).await;
        (request, connection)
    };
    let (sent, (received, _connection)) = tokio::join!(send_to(&site, &client, request), server);
    expect_that!(sent.is_ok(), eq(true));
    expect_that!(received.head.lines().count(), eq(102));
}
