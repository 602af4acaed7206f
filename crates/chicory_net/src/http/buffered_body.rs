//! A body in memory.

use std::sync::Arc;

use bytes::{Bytes, BytesMut};

/// Size of the segments of a long body. Each one but the last has at least this size.
const SEGMENT_BYTES: usize = 64 * 1024;
/// Step in which the memory of shorter bodies is counted.
const STEP_BYTES: u64 = 1024;

/// A complete body in memory, in segments. Clones share the memory.
///
/// A body occupies little more than its length, however small the parts are in which it came.
///
/// # Examples
///
/// ```
/// use chicory_net::http::BufferedBody;
///
/// let body = BufferedBody::from_parts([b"ab".as_slice(), b"c"]);
/// assert_eq!(body.len(), 3);
/// assert_eq!(body.segments().concat(), b"abc");
/// ```
#[derive(Clone, Debug, Default)]
pub struct BufferedBody {
    segments: Arc<[Bytes]>,
    len: u64,
}

impl BufferedBody {
    /// Creates a body from its parts.
    pub fn from_parts<'a>(parts: impl IntoIterator<Item = &'a [u8]>) -> Self {
        let mut buffer = BodyBuffer::default();
        for part in parts {
            buffer.push(Bytes::copy_from_slice(part));
        }
        buffer.finish()
    }

    /// Returns the length in bytes.
    #[must_use]
    pub fn len(&self) -> u64 {
        self.len
    }

    /// Whether the body has no bytes.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Returns the segments in their order.
    #[must_use]
    pub fn segments(&self) -> &[Bytes] {
        &self.segments
    }

    /// Returns all bytes in one piece, which are copied if there is more than one segment.
    #[must_use]
    pub fn to_bytes(&self) -> Bytes {
        match &*self.segments {
            [] => Bytes::new(),
            [segment] => segment.clone(),
            segments => segments.concat().into(),
        }
    }
}

/// A body that is being received.
#[derive(Debug, Default)]
pub(crate) struct BodyBuffer {
    segments: Vec<Bytes>,
    /// A single part, which is kept as it came if no other follows.
    first: Bytes,
    tail: BytesMut,
    len: u64,
    /// Length that the body will have at least.
    expected_len: u64,
}

impl BodyBuffer {
    /// Creates a buffer for a body of at least this length. Its segments are allocated in their final
    /// sizes, so that memory that was freed fits the bodies of others.
    pub(crate) fn expecting(expected_len: u64) -> Self {
        Self {
            expected_len,
            ..Self::default()
        }
    }

    pub(crate) fn len(&self) -> u64 {
        self.len
    }

    /// Returns the memory that the body occupies once it has this length.
    pub(crate) fn bytes_for(len: u64) -> u64 {
        let segment_bytes = SEGMENT_BYTES as u64;
        if len <= segment_bytes {
            len.next_multiple_of(STEP_BYTES)
        } else {
            len.next_multiple_of(segment_bytes)
        }
    }

    /// Whether a body has made progress when it has grown to a length. A sender that sends a few bytes
    /// now and then makes none.
    pub(crate) fn has_progressed(len: u64, new_len: u64) -> bool {
        len / STEP_BYTES != new_len / STEP_BYTES
    }

    pub(crate) fn push(&mut self, part: Bytes) {
        if self.len == 0 {
            self.len = part.len() as u64;
            self.first = part;
            return;
        }
        self.len += part.len() as u64;
        let first = std::mem::take(&mut self.first);
        self.append(&first);
        self.append(&part);
    }

    pub(crate) fn finish(mut self) -> BufferedBody {
        if !self.first.is_empty() {
            self.segments.push(self.first);
        } else if !self.tail.is_empty() {
            self.segments.push(self.tail.freeze());
        }
        BufferedBody {
            segments: self.segments.into(),
            len: self.len,
        }
    }

    /// Returns the size of the next segment as far as it is known.
    fn next_segment_bytes(&self) -> usize {
        if self.expected_len < self.len && !self.segments.is_empty() {
            return SEGMENT_BYTES;
        }
        let complete_bytes = self.segments.len() * SEGMENT_BYTES;
        let left = self.expected_len.max(self.len) - complete_bytes as u64;
        usize::try_from(left).map_or(SEGMENT_BYTES, |left| left.min(SEGMENT_BYTES))
    }

    fn append(&mut self, mut part: &[u8]) {
        while !part.is_empty() {
            let room = SEGMENT_BYTES - self.tail.len();
            if self.tail.capacity() == 0 {
                self.tail.reserve(self.next_segment_bytes());
            }
            let (fitting, rest) = part.split_at(part.len().min(room));
            self.tail.extend_from_slice(fitting);
            part = rest;
            if self.tail.len() == SEGMENT_BYTES {
                let segment = std::mem::take(&mut self.tail);
                self.segments.push(segment.freeze());
            }
        }
    }
}
