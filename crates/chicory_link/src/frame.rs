//! One message on a link.

use bytes::Bytes;
use prost::Message;
use snafu::ResultExt;

use crate::LinkError;
use crate::link_error::DecodeSnafu;

/// One frame.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Frame {
    /// The other end is alive.
    KeepAlive,
    /// An encoded message.
    Message(Bytes),
}

impl Frame {
    /// Decodes the message.
    ///
    /// # Errors
    ///
    /// [`LinkError::Decode`] when it is of another type; an empty frame decodes to the default.
    pub fn decode<M: Message + Default>(self) -> Result<M, LinkError> {
        match self {
            Self::KeepAlive => Ok(M::default()),
            Self::Message(bytes) => M::decode(bytes).context(DecodeSnafu),
        }
    }
}
