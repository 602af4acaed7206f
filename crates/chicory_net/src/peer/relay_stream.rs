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
    /// Takes a stream that this end opens; its kind goes out with the first frame.
    pub(crate) fn open(writer: SendStream, reader: RecvStream) -> Self {
        Self {
            writer: RelayWriter::opening(writer),
            reader: RelayReader::new(reader),
        }
    }

    /// Takes a stream that the other end opened, whose kind was read.
    pub(crate) fn accept(writer: SendStream, reader: RecvStream) -> Self {
        Self {
            writer: RelayWriter::new(writer),
            reader: RelayReader::new(reader),
        }
    }
}
