//! Calls, messages and relays between two endpoints on loopback addresses.

mod support;

use std::sync::Arc;
use std::time::Duration;

use chicory_net::NetMetric;
use chicory_net::peer::{
    BodyPart, FaultFile, Frame, FrameError, MessageSender, PeerConnection, PeerError, PeerStream,
    RelayStream,
};
use chicory_wire::proto::common::SlotRun;
use chicory_wire::proto::relay::{RelayAnswerHead, RelayRequestHead};
use googletest::prelude::*;
use support::{Peer, authority, bind, identity, peer, tls};

const LONG_TIMEOUT: Duration = Duration::from_secs(20);

async fn connect_pair(client: &Peer, server: &mut Peer) -> (PeerConnection, PeerConnection) {
    let client_connection = client.endpoint.connect(server.address).await;
    let server_connection = server.incoming.recv().await;
    (
        client_connection.expect("a connection"),
        server_connection.expect("a connection").connection,
    )
}

async fn relay(client: &Peer, server: &mut Peer) -> (RelayStream, RelayStream) {
    let (client_connection, server_connection) = connect_pair(client, server).await;
    let mut opened = client_connection.open_relay().await.expect("a stream");
    let head = RelayRequestHead {
        request: 7,
        ..RelayRequestHead::default()
    };
    opened.writer.send_request_head(head).await.expect("sent");
    opened.writer.flush().await.expect("sent");
    let PeerStream::Relay(mut accepted) = server_connection.accept().await.expect("a stream")
    else {
        panic!("not a relay");
    };
    let head = accepted.reader.request_head().await.expect("a head");
    assert_eq!(head.request, 7);
    (opened, accepted)
}

#[gtest]
#[tokio::test]
async fn a_call_is_answered_and_the_identity_is_that_of_the_certificate() {
    let authority = authority();
    let client = peer(&authority, "vm-1");
    let mut server = peer(&authority, "vm-2");
    let client_connection = client.endpoint.connect(server.address).await.expect("up");
    let incoming = server.incoming.recv().await.expect("incoming");
    expect_that!(incoming.identity, eq(&identity("vm-1")));
    tokio::spawn(async move {
        while let Ok(PeerStream::Call(mut call)) = incoming.connection.accept().await {
            let run: SlotRun = call.read().await.expect("a request");
            let swapped = SlotRun {
                first: run.last,
                last: run.first,
            };
            call.reply(&swapped).await.expect("replied");
        }
    });
    let request = SlotRun { first: 1, last: 2 };
    let reply: SlotRun = client_connection
        .call(&request, LONG_TIMEOUT)
        .await
        .expect("a reply");
    expect_that!(reply, eq(SlotRun { first: 2, last: 1 }));
    let again = client.endpoint.connect(server.address).await.expect("up");
    let reply: SlotRun = again.call(&request, LONG_TIMEOUT).await.expect("a reply");
    expect_that!(reply, eq(SlotRun { first: 2, last: 1 }));
    expect_that!(client.metrics.total(NetMetric::PeerConnections), eq(1));
}

#[gtest]
#[tokio::test]
async fn a_call_without_reply_times_out() {
    let authority = authority();
    let client = peer(&authority, "vm-1");
    let mut server = peer(&authority, "vm-2");
    let (client_connection, server_connection) = connect_pair(&client, &mut server).await;
    let accepting_task =
        tokio::spawn(async move { (server_connection.accept().await, server_connection) });
    let timeout = Duration::from_millis(30);
    let reply = client_connection
        .call::<_, SlotRun>(&SlotRun::default(), timeout)
        .await;
    expect_that!(reply, err(matches_pattern!(PeerError::TimedOut { .. })));
    drop(accepting_task);
}

#[gtest]
#[tokio::test]
async fn messages_arrive_in_order_and_again_after_a_restart_of_the_peer() {
    let authority = authority();
    let client = peer(&authority, "vm-1");
    let mut server = peer(&authority, "vm-2");
    let sender = MessageSender::new(
        client.endpoint.clone(),
        server.address,
        16,
        client.metrics.clone(),
    );
    for first in 0..3 {
        sender.send(&SlotRun { first, last: 0 }).expect("queued");
    }
    let incoming = server.incoming.recv().await.expect("incoming");
    let Ok(PeerStream::Messages(mut messages)) = incoming.connection.accept().await else {
        panic!("not messages");
    };
    for first in 0..3 {
        let message: SlotRun = messages.next().await.expect("a message");
        expect_that!(message.first, eq(first));
    }
    server.endpoint.close().await;
    let address = server.address;
    drop((server, messages, incoming));
    let metrics = client.metrics.clone();
    let tls = tls(&authority, "vm-2");
    let (_endpoint, mut incoming) = rebind(address, &tls, metrics).await;
    let received = loop {
        sender.send(&SlotRun { first: 9, last: 0 }).expect("queued");
        let accepted = tokio::time::timeout(Duration::from_millis(100), incoming.recv()).await;
        let Ok(Some(incoming)) = accepted else {
            continue;
        };
        let Ok(PeerStream::Messages(mut messages)) = incoming.connection.accept().await else {
            continue;
        };
        break messages.next::<SlotRun>().await.expect("a message");
    };
    expect_that!(received.first, eq(9));
}

async fn rebind(
    address: std::net::SocketAddr,
    tls: &chicory_net::tls::PeerTls,
    metrics: Arc<chicory_telemetry::Metrics>,
) -> (
    chicory_net::peer::PeerEndpoint,
    tokio::sync::mpsc::Receiver<chicory_net::peer::IncomingConnection>,
) {
    loop {
        let bound = chicory_net::peer::PeerEndpoint::bind(
            address,
            tls,
            &identity("vm-2"),
            Arc::new(chicory_net::peer::NoFaults),
            metrics.clone(),
        );
        match bound {
            Ok(bound) => return bound,
            Err(_) => tokio::time::sleep(Duration::from_millis(10)).await,
        }
    }
}

#[gtest]
#[tokio::test]
async fn a_relayed_body_arrives_whole() {
    let authority = authority();
    let client = peer(&authority, "vm-1");
    let mut server = peer(&authority, "vm-2");
    let (mut opened, mut accepted) = relay(&client, &mut server).await;
    let sending = tokio::spawn(async move {
        opened.writer.send_chunk(vec![1; 70_000]).await?;
        opened.writer.send_chunk(vec![2; 5]).await?;
        opened.writer.end().await?;
        opened.reader.answer_head().await
    });
    let mut received_bytes = 0;
    while let BodyPart::Chunk(chunk) = accepted.reader.next_part().await.expect("a part") {
        received_bytes += chunk.len();
    }
    expect_that!(received_bytes, eq(70_005));
    let head = RelayAnswerHead {
        status: 204,
        ..RelayAnswerHead::default()
    };
    accepted.writer.send_answer_head(head).await.expect("sent");
    accepted.writer.end().await.expect("ended");
    let head = sending.await.expect("joined").expect("a head");
    expect_that!(head.status, eq(204));
}

#[gtest]
#[tokio::test]
async fn a_relayed_body_that_ends_early_is_an_error() {
    let authority = authority();
    let client = peer(&authority, "vm-1");
    let mut server = peer(&authority, "vm-2");
    let (mut opened, mut accepted) = relay(&client, &mut server).await;
    opened.writer.send_chunk(vec![1; 100]).await.expect("sent");
    opened.writer.flush().await.expect("sent");
    let part = accepted.reader.next_part().await.expect("a part");
    expect_that!(part, matches_pattern!(BodyPart::Chunk(_)));
    drop(opened);
    let part = accepted.reader.next_part().await;
    expect_that!(part, err(matches_pattern!(FrameError::Broken { .. })));
}

#[gtest]
#[tokio::test]
async fn a_body_received_in_one_piece_is_available_as_a_whole() {
    let authority = authority();
    let client = peer(&authority, "vm-1");
    let mut server = peer(&authority, "vm-2");
    let (opened, mut accepted) = relay(&client, &mut server).await;
    let head = RelayAnswerHead::default();
    accepted.writer.send_answer_head(head).await.expect("sent");
    accepted.writer.send_chunk(vec![1; 5]).await.expect("sent");
    accepted.writer.send_chunk(vec![2; 5]).await.expect("sent");
    accepted.writer.end().await.expect("ended");
    let mut reader = opened.reader;
    reader.answer_head().await.expect("a head");
    let body = reader.received_body().expect("a valid body");
    expect_that!(body.expect("a whole body").len(), eq(10));
    // The body hasn't been consumed and can still be read part by part.
    let part = reader.next_part().await.expect("a part");
    expect_that!(part, eq(&BodyPart::Chunk(vec![1; 5].into())));
    reader.next_part().await.expect("a part");
    expect_that!(reader.next_part().await, ok(eq(&BodyPart::End)));
}

#[gtest]
#[tokio::test]
async fn dropping_a_relay_stream_closes_the_other_end() {
    let authority = authority();
    let client = peer(&authority, "vm-1");
    let mut server = peer(&authority, "vm-2");
    let (opened, accepted) = relay(&client, &mut server).await;
    let closed = accepted.writer.closed();
    drop(opened);
    closed.await;
}

#[gtest]
#[tokio::test]
async fn a_slow_reader_applies_backpressure_to_the_sender() {
    const CHUNK_BYTES: usize = 64 * 1024;
    const CHUNKS: usize = 256;
    let authority = authority();
    let client = peer(&authority, "vm-1");
    let mut server = peer(&authority, "vm-2");
    let (mut opened, mut accepted) = relay(&client, &mut server).await;
    let sent = Arc::new(std::sync::atomic::AtomicUsize::new(0));
    let counter = sent.clone();
    let sending = tokio::spawn(async move {
        for _ in 0..CHUNKS {
            opened.writer.send_chunk(vec![3; CHUNK_BYTES]).await?;
            counter.fetch_add(1, std::sync::atomic::Ordering::Relaxed);
        }
        opened.writer.end().await.map(|()| opened)
    });
    tokio::time::sleep(Duration::from_millis(300)).await;
    // The stream's window and the buffers of both ends are far smaller than the body of 16 MiB.
    expect_that!(
        sent.load(std::sync::atomic::Ordering::Relaxed),
        lt(CHUNKS / 2)
    );
    let mut received_bytes = 0;
    while let BodyPart::Chunk(chunk) = accepted.reader.next_part().await.expect("a part") {
        received_bytes += chunk.len();
    }
    expect_that!(received_bytes, eq(CHUNKS * CHUNK_BYTES));
    drop(sending.await);
}

#[gtest]
#[tokio::test]
async fn a_blocked_peer_is_detected_and_reconnected_once_unblocked() {
    let authority = authority();
    let faults = Arc::new(FaultFile::default());
    let client = bind(&tls(&authority, "vm-1"), &identity("vm-1"), faults.clone());
    let mut server = peer(&authority, "vm-2");
    let (client_connection, _server_connection) = connect_pair(&client, &mut server).await;
    faults.set(&format!("{}\nnot an address\n", server.address));
    let call = client_connection
        .call::<_, SlotRun>(&SlotRun::default(), LONG_TIMEOUT)
        .await;
    expect_that!(call, err(anything()));
    expect_that!(client_connection.is_open(), eq(false));
    expect_that!(
        client.endpoint.connect(server.address).await,
        err(anything())
    );
    let backing_off = client.endpoint.connect(server.address).await;
    expect_that!(
        backing_off,
        err(matches_pattern!(PeerError::BackingOff { .. }))
    );
    faults.set("");
    while client.endpoint.connect(server.address).await.is_err() {
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}

#[gtest]
fn wrong_frames_are_typed_errors() {
    let good = Frame::encode(&SlotRun { first: 1, last: 2 }).expect("a frame");
    let altered = |index: usize, byte: u8| {
        let mut frame = good.to_vec();
        frame[index] = byte;
        Frame::decode::<SlotRun>(&frame)
    };
    expect_that!(
        altered(0, b'X'),
        err(matches_pattern!(FrameError::WrongMagic { .. }))
    );
    expect_that!(
        altered(3, 9),
        err(matches_pattern!(FrameError::WrongVersion { found: eq(&9) }))
    );
    expect_that!(
        altered(4, 0xff),
        err(matches_pattern!(FrameError::Oversized { .. }))
    );
    expect_that!(
        altered(7, 0),
        err(matches_pattern!(FrameError::WrongLength { .. }))
    );
    expect_that!(
        altered(8, 0xff),
        err(matches_pattern!(FrameError::Malformed { .. }))
    );
    expect_that!(
        Frame::decode::<SlotRun>(&good[..5]),
        err(matches_pattern!(FrameError::Unexpected { .. }))
    );
}
