//! The connection on which grants under one fence are sent.

use crate::LinkId;

/// The connection on which grants under one fence are sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum FenceLink {
    /// This leader's grants have not taken effect yet: any connection may be used.
    Any,
    /// The owner answered on this connection.
    Only(LinkId),
    /// A grant may have taken effect on a connection that is closed, or on one of a former leader.
    /// The process may have ended with it, and the next one must not get the keys under the same
    /// fence.
    Lost,
}

impl FenceLink {
    /// Returns the connection that the next call has to use, if it may not use any.
    pub(crate) fn required(self) -> Option<LinkId> {
        match self {
            Self::Only(link) => Some(link),
            Self::Any | Self::Lost => None,
        }
    }
}
