//! Kinds of streams.

/// The purpose of a stream, sent as its first byte.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[repr(u8)]
pub enum StreamKind {
    /// The identity of the process that opened the connection; the first stream of a connection.
    Hello = 1,
    /// One call and its reply.
    Call = 2,
    /// Messages in order, without replies.
    Messages = 3,
    /// One relayed request and its answer.
    Relay = 4,
}

impl StreamKind {
    pub(crate) fn from_byte(byte: u8) -> Option<Self> {
        match byte {
            1 => Some(Self::Hello),
            2 => Some(Self::Call),
            3 => Some(Self::Messages),
            4 => Some(Self::Relay),
            _ => None,
        }
    }

    pub(crate) fn to_byte(self) -> u8 {
        self as u8
    }
}
