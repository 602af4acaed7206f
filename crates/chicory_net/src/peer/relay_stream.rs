//! The stream of one relayed request.

use quinn::{RecvStream, SendStream};

use crate::peer::{RelayReader, RelayWriter};

/// The stream of one relayed request, with one direction for the request and one for the answer.
#[derive(Debug)]
pub struct RelayStream {
    /// What this end sends.
    pub writer: RelayWriter,
    /// What the other end sends.
    pub reader: RelayReader,
}

impl RelayStream {
    pub(crate) fn new(writer: SendStream, reader: RecvStream) -> Self {
        Self {
            writer: RelayWriter::new(writer),
            reader: RelayReader::new(reader),
        }
    }
}
