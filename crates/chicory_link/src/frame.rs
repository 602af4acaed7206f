//! One message on a link.

use bytes::Bytes;
use prost::Message;
use snafu::ResultExt;

use crate::LinkError;
use crate::link_error::DecodeSnafu;

/// One frame on a link.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Frame {
    /// An empty frame: the other end is running.
    KeepAlive,
    /// An encoded message.
    Message(Bytes),
}

impl Frame {
    /// Decodes the message; an empty frame decodes to the default message.
    ///
    /// # Errors
    ///
    /// [`LinkError::Decode`] when the bytes are no valid message of type `M`.
    pub fn decode<M: Message + Default>(self) -> Result<M, LinkError> {
        match self {
            Self::KeepAlive => Ok(M::default()),
            Self::Message(bytes) => M::decode(bytes).context(DecodeSnafu),
        }
    }
}
