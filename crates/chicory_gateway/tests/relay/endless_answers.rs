//! Tests of servers that send bytes without end by way of a relay.

use std::time::Duration;

use chicory_gateway::AttemptOutcome;
use googletest::prelude::*;
use tokio::io::AsyncWriteExt;

use crate::backend_server::Connection;
use crate::site::{DEADLINE, Site, client, get, send_to};

/// Memory of the smallest entry VMs.
const ENTRY_VM_MEMORY_BYTES: usize = 160 * 1024 * 1024;
/// Time without progress after which a connection counts as full.
const STALL_TIME: Duration = Duration::from_millis(500);

/// Writes `part` again and again until the connection is closed, takes no more for a while, or has
/// taken as many bytes as the entry VM has memory. Returns the number of bytes.
async fn write_on(connection: &mut Connection, part: &[u8]) -> usize {
    let mut bytes = 0;
    while bytes < ENTRY_VM_MEMORY_BYTES {
        let write = connection.stream.write_all(part);
        match tokio::time::timeout(STALL_TIME, write).await {
            Ok(Ok(())) => bytes += part.len(),
            Ok(Err(_)) | Err(_) => break,
        }
    }
    bytes
}

/// Guards against a relay peer that runs out of memory because the head of an answer never ends.
#[gtest]
#[tokio::test]
async fn relay_breaks_off_a_head_without_end() {
    let field = format!("x-field: {}\r\n", "v".repeat(1000));
    let value = "v".repeat(1000);
    for (start, part) in [
        ("HTTP/1.1 200 OK\r\n", field.as_str()),
        ("HTTP/1.1 200 OK\r\nx-field: ", value.as_str()),
        ("", "HTTP/1.1 100 Continue\r\n\r\n"),
        ("", value.as_str()),
    ] {
        let site = Site::start().await;
        let client = client();
        let server = async {
            let mut connection = site.server.accept().await;
            connection.read_request().await;
            connection.write(start.as_bytes()).await;
            write_on(&mut connection, part.as_bytes()).await
        };
        let (sent, bytes) = tokio::join!(send_to(&site, &client, get), server);
        let outcome = sent.err();
        let is_broken_off = any![eq(AttemptOutcome::Garbled), eq(AttemptOutcome::Broken)];
        expect_that!(outcome, some(is_broken_off), "{start:?}");
        expect_that!(bytes, lt(ENTRY_VM_MEMORY_BYTES), "{start:?}");
    }
}

/// Guards against a relay peer that keeps a body without end while the other entry VM does not read it.
#[gtest]
#[tokio::test]
async fn relay_holds_back_a_body_without_end_that_is_not_read() {
    let site = Site::start().await;
    let client = client();
    let server = async {
        let mut connection = site.server.accept().await;
        connection.read_request().await;
        let head = "HTTP/1.1 200 OK\r\nRequest-Id: a-1\r\n\r\n";
        connection.write(head.as_bytes()).await;
        let bytes = write_on(&mut connection, &[b'x'; 16 * 1024]).await;
        (connection, bytes)
    };
    let (sent, (mut connection, bytes)) = tokio::join!(send_to(&site, &client, get), server);
    expect_that!(bytes, lt(ENTRY_VM_MEMORY_BYTES));
    // The connection to the server ends with that of the other entry VM.
    drop(sent);
    let closed = tokio::time::timeout(DEADLINE, connection.wait_for_close());
    expect_that!(closed.await.is_ok(), eq(true));
}
