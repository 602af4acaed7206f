//! A connection that another process opened.

use crate::peer::{PeerConnection, PeerIdentity};

/// A connection that another process opened.
#[derive(Debug)]
pub struct IncomingConnection {
    /// The identity of the process that opened it.
    pub identity: PeerIdentity,
    /// The connection.
    pub connection: PeerConnection,
}
