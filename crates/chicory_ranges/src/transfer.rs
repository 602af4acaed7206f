//! A wish of the planner.

use chicory_types::ServiceName;

use crate::{KeyRange, ServerIncarnation};

/// Keys that should go from one owner to another.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Transfer {
    /// The service whose keys these are.
    pub service: ServiceName,
    /// The keys, all within one owned range.
    pub range: KeyRange,
    /// The owner now; `None` if the keys have none.
    pub from: Option<ServerIncarnation>,
    /// The next owner.
    pub to: ServerIncarnation,
}
