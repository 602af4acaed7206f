//! Where a request has to go.

use chicory_types::{FencingToken, Slot, VmId};

use crate::RefusalReason;
use crate::view::ServerIndex;

/// Where a request has to go.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Route {
    /// To a server that this process dispatches to.
    Own {
        server: ServerIndex,
        grant: Option<(Slot, FencingToken)>,
    },
    /// To another entry process.
    Relay {
        vm: VmId,
        address: String,
        server: Option<ServerIndex>,
    },
    /// Nowhere.
    Refused(RefusalReason),
}
