//! A change of ownership.

use chicory_types::ServiceName;
use snafu::Snafu;

use crate::{KeyRange, ServerIncarnation};

/// Assigns a range to another owner, or to the same one under a new fence.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RangeMove {
    /// The service whose keys these are.
    pub service: ServiceName,
    /// The keys.
    pub range: KeyRange,
    /// The owner of all of them so far; `None` if they never had one.
    pub from: Option<ServerIncarnation>,
    /// The next owner.
    pub to: ServerIncarnation,
    /// State that the former owner handed over.
    pub handover: Option<String>,
}

/// Why a change of ownership can't be applied to the registry.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum MoveRejection {
    /// Some of the keys have another owner than the move assumes.
    #[snafu(display("keys {range} of {service} have another owner by now"))]
    OtherOwner {
        /// The service.
        service: ServiceName,
        /// The keys.
        range: KeyRange,
    },
}
