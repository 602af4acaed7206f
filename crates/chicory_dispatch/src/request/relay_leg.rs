//! A relay to another entry process.

use chicory_types::VmId;

use crate::view::ServerIndex;

/// A relay to another entry process.
#[derive(Clone, Debug)]
pub(crate) struct RelayLeg {
    pub(crate) vm: VmId,
    /// The server it was chosen for; `None` for a relay to another zone.
    pub(crate) server: Option<ServerIndex>,
    /// Whether its answer is being passed on.
    pub(crate) is_forwarding: bool,
}
