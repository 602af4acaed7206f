//! Bodies that are kept in memory.

use chicory_net::http::BufferedBody;
use chicory_types::{fingerprint_of, fingerprint_of_segments};
use googletest::prelude::*;

/// Size of all segments but the last.
const SEGMENT_BYTES: usize = 64 * 1024;

fn pattern(len: usize) -> Vec<u8> {
    let bytes = (0..=250_u8).cycle();
    bytes.take(len).collect()
}

#[gtest]
fn body_is_whole_however_it_is_divided() {
    for len in [
        0,
        1,
        100,
        SEGMENT_BYTES - 1,
        SEGMENT_BYTES,
        SEGMENT_BYTES + 1,
        200_000,
    ] {
        let bytes = pattern(len);
        for part_bytes in [1, 7, 1000, SEGMENT_BYTES, 70_000, 300_000] {
            let body = BufferedBody::from_parts(bytes.chunks(part_bytes));
            let context = format!("{len} bytes in parts of {part_bytes}");
            expect_that!(body.len(), eq(len as u64), "{context}");
            expect_that!(body.is_empty(), eq(len == 0), "{context}");
            expect_that!(body.to_bytes() == bytes, eq(true), "{context}");
        }
    }
}

/// Guards against memory that a body in small parts occupies beyond its length.
#[gtest]
fn small_parts_are_put_together_into_segments() {
    let bytes = pattern(200_000);
    let body = BufferedBody::from_parts(bytes.chunks(1));
    let sizes: Vec<usize> = body.segments().iter().map(bytes::Bytes::len).collect();
    let last = 200_000 - 3 * SEGMENT_BYTES;
    expect_that!(
        sizes,
        eq(&[SEGMENT_BYTES, SEGMENT_BYTES, SEGMENT_BYTES, last])
    );
}

#[gtest]
fn single_part_is_not_copied() {
    let body = BufferedBody::from_parts([pattern(100_000).as_slice()]);
    expect_that!(body.segments().len(), eq(1));
}

/// Entry VMs compare fingerprints of requests, and receive the bodies in different parts.
#[gtest]
fn fingerprint_does_not_depend_on_segments() {
    let bytes = pattern(200_000);
    let whole = fingerprint_of(&[b"POST", b"/orders/7", &bytes]);
    for part_bytes in [1, 999, 65_536, 200_000] {
        let body = BufferedBody::from_parts(bytes.chunks(part_bytes));
        let segments = body.segments().iter().map(|segment| &segment[..]);
        let divided = fingerprint_of_segments(&[b"POST", b"/orders/7"], body.len(), segments);
        expect_that!(divided, eq(whole), "parts of {part_bytes}");
    }
    let empty = fingerprint_of_segments(&[b"GET", b"/"], 0, []);
    expect_that!(empty, eq(fingerprint_of(&[b"GET", b"/", b""])));
}
