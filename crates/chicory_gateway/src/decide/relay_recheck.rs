//! Whether a request of another entry VM may be sent to its server.

/// Whether this entry VM may send a request that it relays for another one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RelayRecheck {
    /// It may be sent.
    Send,
    /// The server has ended, accepts no more requests, or has asked this entry VM for a pause.
    Withhold,
    /// This entry VM's directory has never contained the incarnation at this address. It may be
    /// older than that of the other entry VM.
    NotKnownYet,
}
