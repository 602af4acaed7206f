//! A transfer that the planner requests.

use chicory_types::ServiceName;

use crate::{KeyRange, ServerIncarnation};

/// Keys that should move from one owner to another.
///
/// The [`RangeMove`](crate::RangeMove) is proposed once the current owner can't hold the
/// keys any more.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Transfer {
    /// The service whose keys these are.
    pub service: ServiceName,
    /// The keys, all within one owned range.
    pub range: KeyRange,
    /// The current owner; `None` if the keys have none.
    pub from: Option<ServerIncarnation>,
    /// The next owner.
    pub to: ServerIncarnation,
}
