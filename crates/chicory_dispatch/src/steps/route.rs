//! The route of a request.

use chicory_types::{FencingToken, Slot, VmId};

use crate::RefusalReason;
use crate::view::ServerIndex;

/// The route of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Route {
    /// It is sent to a server that this process dispatches to.
    Local {
        server: ServerIndex,
        grant: Option<(Slot, FencingToken)>,
    },
    /// It is relayed to another entry process.
    Relay {
        vm: VmId,
        address: String,
        server: Option<ServerIndex>,
    },
    /// It can't be routed and is refused.
    Refused(RefusalReason),
}
