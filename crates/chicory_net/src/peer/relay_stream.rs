//! The stream of one relayed request.

use quinn::{RecvStream, SendStream};

use crate::peer::{RelayReader, RelayWriter};

/// The stream of one relayed request, with one direction for the request and one for the answer.
#[derive(Debug)]
pub struct RelayStream {
    /// The direction in which this end sends.
    pub writer: RelayWriter,
    /// The direction in which the other end sends.
    pub reader: RelayReader,
}

impl RelayStream {
    /// Wraps a stream that this end opened; its kind is sent together with the first frame.
    pub(crate) fn open(writer: SendStream, reader: RecvStream) -> Self {
        Self {
            writer: RelayWriter::for_new_stream(writer),
            reader: RelayReader::new(reader),
        }
    }

    /// Wraps a stream that the other end opened and whose kind has been read.
    pub(crate) fn accept(writer: SendStream, reader: RecvStream) -> Self {
        Self {
            writer: RelayWriter::new(writer),
            reader: RelayReader::new(reader),
        }
    }
}
