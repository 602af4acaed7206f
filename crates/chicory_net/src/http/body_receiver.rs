//! Receives the body of a request.

use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};
use snafu::{ResultExt, ensure};

use crate::http::buffered_body::BodyBuffer;
use crate::http::connection_share::ConnectionShare;
use crate::http::receive_error::{OutOfMemorySnafu, TooLongSnafu, UnreadableSnafu};
use crate::http::{BufferedBody, ReceiveError};

/// Whether more of a body is to come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReceiveStep {
    /// More may follow.
    More,
    /// The body is complete.
    Complete,
}

/// Receives the body of a request into memory, within the budget of its connection.
pub struct BodyReceiver<'a> {
    body: &'a mut Incoming,
    share: Option<ConnectionShare>,
    max_bytes: u64,
    buffer: BodyBuffer,
}

impl<'a> BodyReceiver<'a> {
    /// Creates a receiver of a body of up to `max_bytes`. Without a share, memory is not limited.
    ///
    /// # Errors
    ///
    /// [`ReceiveError`] when the length that the body states is too long.
    pub fn new(
        body: &'a mut Incoming,
        share: Option<ConnectionShare>,
        max_bytes: u64,
    ) -> Result<Self, ReceiveError> {
        let stated_bytes = body.size_hint().lower();
        ensure!(stated_bytes <= max_bytes, TooLongSnafu { max_bytes });
        if let Some(share) = &share {
            let is_possible = stated_bytes <= share.max_content_bytes();
            ensure!(is_possible, OutOfMemorySnafu);
        }
        Ok(Self {
            body,
            share,
            max_bytes,
            buffer: BodyBuffer::expecting(stated_bytes),
        })
    }

    /// Returns the length that the body has as far as it is known: what was received, and what is
    /// stated to follow.
    #[must_use]
    pub fn known_bytes(&self) -> u64 {
        self.buffer.len() + self.body.size_hint().lower()
    }

    /// Returns the whole length of the body, if it was stated.
    #[must_use]
    pub fn stated_bytes(&self) -> Option<u64> {
        let left = self.body.size_hint().exact()?;
        Some(self.buffer.len() + left)
    }

    /// Waits until the body has to make room for others.
    pub async fn evicted(&self) {
        match &self.share {
            Some(share) => share.evicted().await,
            None => std::future::pending().await,
        }
    }

    /// Receives the next part.
    ///
    /// # Errors
    ///
    /// [`ReceiveError`] when the body can't be received to its end. The request has not run then.
    pub async fn receive_part(&mut self) -> Result<ReceiveStep, ReceiveError> {
        let share = self.share.clone();
        let evicted = async {
            match &share {
                Some(share) => share.evicted().await,
                None => std::future::pending().await,
            }
        };
        let frame = tokio::select! {
            biased;
            () = evicted => return OutOfMemorySnafu.fail(),
            frame = self.body.frame() => frame,
        };
        let Some(frame) = frame else {
            return Ok(ReceiveStep::Complete);
        };
        // Trailers belong to one connection and aren't forwarded.
        let Ok(part) = frame.context(UnreadableSnafu)?.into_data() else {
            return Ok(ReceiveStep::More);
        };
        let max_bytes = self.max_bytes;
        let new_len = self.buffer.len() + part.len() as u64;
        ensure!(new_len <= max_bytes, TooLongSnafu { max_bytes });
        let (bytes, new_bytes) = (
            BodyBuffer::bytes_for(self.buffer.len()),
            BodyBuffer::bytes_for(new_len),
        );
        if let Some(share) = &self.share {
            if bytes != new_bytes {
                ensure!(share.set_content(new_bytes), OutOfMemorySnafu);
            } else if BodyBuffer::has_progressed(self.buffer.len(), new_len) {
                share.record_progress();
            }
        }
        self.buffer.push(part);
        Ok(ReceiveStep::More)
    }

    /// Receives all of the body.
    ///
    /// # Errors
    ///
    /// As for [`Self::receive_part`].
    pub async fn receive_all(mut self) -> Result<BufferedBody, ReceiveError> {
        while self.receive_part().await? == ReceiveStep::More {}
        Ok(self.finish())
    }

    /// Returns the body once it is complete.
    #[must_use]
    pub fn finish(mut self) -> BufferedBody {
        if let Some(share) = self.share.take() {
            share.finish_receiving();
        }
        std::mem::take(&mut self.buffer).finish()
    }
}

impl Drop for BodyReceiver<'_> {
    fn drop(&mut self) {
        if let Some(share) = &self.share {
            self.buffer = BodyBuffer::default();
            share.release_content();
        }
    }
}
