//! The answer to a renewal.

use std::time::Duration;

use chicory_types::VmId;
use serde::{Deserialize, Serialize};

use crate::{RenewRefusal, ViewUpdate};

/// The answer to a renewal.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RenewAnswer {
    /// The lease holds for `lease` from before the request was sent.
    Granted {
        /// Length of the lease.
        lease: Duration,
        /// Changes since the known view.
        update: ViewUpdate,
    },
    /// Another process leads the zone group.
    NotLeader {
        /// The leader, where it is known.
        leader: Option<VmId>,
    },
    /// The renewal is wrong and must not be sent again as it is.
    Refused(RenewRefusal),
}
