//! Checks how [`FrameReader`] reports frames that are received in parts or together.

use std::time::Duration;

use chicory_link::{Frame, FrameReader, LinkError, MAX_FRAME_BYTES, ReadEvent};
use googletest::prelude::*;
use tokio::io::{AsyncWriteExt, DuplexStream, duplex};

const PAUSE: Duration = Duration::from_millis(30);
const MESSAGE: &[u8] = b"a message of some length";

fn framed(message: &[u8]) -> Vec<u8> {
    let length = u32::try_from(message.len()).expect("a short message");
    [&length.to_be_bytes(), message].concat()
}

fn link() -> (DuplexStream, FrameReader<DuplexStream>) {
    let (write, read) = duplex(1024);
    (write, FrameReader::new(read))
}

#[gtest]
#[tokio::test]
async fn partial_frame_is_reported_before_the_whole_frame() {
    let (mut write, mut reader) = link();
    let bytes = framed(MESSAGE);
    let (first, rest) = bytes.split_at(9);
    write.write_all(first).await.expect("an open link");
    expect_that!(reader.next_event().await, ok(eq(&ReadEvent::PartialFrame)));
    expect_that!(reader.unfinished_bytes(), eq(9));
    tokio::time::sleep(PAUSE).await;
    write.write_all(rest).await.expect("an open link");
    let Ok(ReadEvent::Frame { frame, transfer }) = reader.next_event().await else {
        panic!("no frame");
    };
    expect_that!(frame, eq(&Frame::Message(MESSAGE.into())));
    expect_that!(transfer.took, ge(PAUSE));
    expect_that!(transfer.size_bytes, eq(MESSAGE.len()));
    expect_that!(reader.unfinished_bytes(), eq(0));
}

#[gtest]
#[tokio::test]
async fn frames_received_together_are_returned_one_by_one() {
    let (mut write, mut reader) = link();
    let bytes = [framed(MESSAGE), framed(b""), framed(b"x")].concat();
    write.write_all(&bytes).await.expect("an open link");
    drop(write);
    let mut frames = Vec::new();
    while let Ok(Some(frame)) = reader.next().await {
        frames.push(frame);
    }
    let expected = [
        Frame::Message(MESSAGE.into()),
        Frame::KeepAlive,
        Frame::Message((&b"x"[..]).into()),
    ];
    expect_that!(frames, eq(&expected));
    expect_that!(reader.next().await, ok(none()));
}

#[gtest]
#[tokio::test]
async fn connection_that_ends_within_a_frame_returns_an_error() {
    let (mut write, mut reader) = link();
    write
        .write_all(&framed(MESSAGE)[..9])
        .await
        .expect("an open link");
    drop(write);
    expect_that!(
        reader.next().await,
        err(matches_pattern!(LinkError::Io { .. }))
    );
}

/// Guards against a process that reserves memory for a frame that another one announces but that no
/// process sends.
#[gtest]
#[tokio::test]
async fn frame_that_is_announced_as_longer_than_any_is_refused_at_once() {
    let (mut write, mut reader) = link();
    let length = u32::try_from(MAX_FRAME_BYTES + 1).expect("a length");
    write
        .write_all(&length.to_be_bytes())
        .await
        .expect("an open link");
    expect_that!(
        reader.next().await,
        err(matches_pattern!(LinkError::Io { .. }))
    );
}
