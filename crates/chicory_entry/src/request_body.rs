//! Bodies of requests, as far as they must be sent again.

use std::collections::VecDeque;

use bytes::{Bytes, BytesMut};
use chicory_net::http::{BodyError, BodySource};
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};

/// The body of a request.
#[derive(Debug)]
pub(crate) enum RequestBody {
    /// The whole body, which can be sent again.
    Buffered(Bytes),
    /// A body too long to keep; `None` once it was sent.
    Streamed(Option<BodySource>),
}

impl RequestBody {
    /// Reads a body up to `max_buffered_bytes`; a longer one is streamed.
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

    /// Whether the body can be sent again.
    pub(crate) fn is_replayable(&self) -> bool {
        matches!(self, Self::Buffered(_))
    }

    /// The body in memory, empty for a streamed one.
    pub(crate) fn buffered(&self) -> &[u8] {
        match self {
            Self::Buffered(bytes) => bytes,
            Self::Streamed(_) => &[],
        }
    }

    /// Takes the body to send it; `None` for a streamed one that was sent before.
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
