//! What a request needs of the entry VM that relays it.

use chicory_types::ServiceName;

/// What a request needs of the entry VM that relays it. An entry VM may reach the servers of one
/// service and not those of another, and its link may have room for small answers only.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct RelayNeed {
    /// Service whose servers it has to reach.
    pub(super) service: ServiceName,
    /// Whether the request or its answer is large.
    pub(super) is_large: bool,
}
