//! A relay to another entry process.

use chicory_types::VmId;

use crate::view::ServerIndex;

/// A relay to another entry process.
#[derive(Clone, Debug)]
pub(crate) struct RelayExchange {
    pub(crate) vm: VmId,
    /// The server that the request was routed to; `None` for a relay to another zone.
    pub(crate) server: Option<ServerIndex>,
    /// Whether the answer is being forwarded.
    pub(crate) is_forwarding: bool,
}
