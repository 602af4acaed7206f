//! Bodies of requests, buffered as far as they can be resent.

use std::collections::VecDeque;

use bytes::{Bytes, BytesMut};
use chicory_net::http::{BodyError, BodySource};
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};

/// The body of a request.
#[derive(Debug)]
pub(crate) enum RequestBody {
    /// The whole body in memory, which can be resent.
    Buffered(Bytes),
    /// A body that is too long to be kept in memory; `None` once it was sent.
    Streamed(Option<BodySource>),
}

impl RequestBody {
    /// Reads a body of up to `max_buffered_bytes` into memory; a longer one is streamed.
    pub(crate) async fn read(
        mut body: Incoming,
        max_buffered_bytes: usize,
    ) -> Result<Self, BodyError> {
        if body.is_end_stream() {
            return Ok(Self::Buffered(Bytes::new()));
        }
        if body.size_hint().lower() > max_buffered_bytes as u64 {
            return Ok(Self::Streamed(Some(BodySource::Incoming(body))));
        }
        let mut parts = VecDeque::new();
        let mut size_bytes = 0;
        while let Some(frame) = body.frame().await {
            let frame = frame.map_err(|source| BodyError::Http { source })?;
            let Ok(part) = frame.into_data() else {
                continue;
            };
            size_bytes += part.len();
            parts.push_back(part);
            if size_bytes > max_buffered_bytes {
                let source = BodySource::Resumed { parts, rest: body };
                return Ok(Self::Streamed(Some(source)));
            }
        }
        Ok(Self::Buffered(joined(parts)))
    }

    /// Returns whether the body can be resent.
    pub(crate) fn is_replayable(&self) -> bool {
        matches!(self, Self::Buffered(_))
    }

    /// Returns the body in memory, which is empty for a streamed one.
    pub(crate) fn buffered(&self) -> &[u8] {
        match self {
            Self::Buffered(bytes) => bytes,
            Self::Streamed(_) => &[],
        }
    }

    /// Returns the body in order to send it, or `None` for a streamed one that was sent before.
    pub(crate) fn take(&mut self) -> Option<BodySource> {
        match self {
            Self::Buffered(bytes) if bytes.is_empty() => Some(BodySource::Empty),
            Self::Buffered(bytes) => Some(BodySource::Full(bytes.clone())),
            Self::Streamed(source) => source.take(),
        }
    }
}

fn joined(mut parts: VecDeque<Bytes>) -> Bytes {
    if parts.len() <= 1 {
        return parts.pop_front().unwrap_or_default();
    }
    let mut joined = BytesMut::new();
    for part in parts {
        joined.extend_from_slice(&part);
    }
    joined.freeze()
}
