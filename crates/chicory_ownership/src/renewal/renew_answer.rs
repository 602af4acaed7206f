//! Answer to a renewal.

use std::time::Duration;

use chicory_types::VmId;
use serde::{Deserialize, Serialize};

use crate::{RenewRefusal, ViewUpdate};

/// Answer to a renewal.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RenewAnswer {
    /// The lease is renewed. The holder counts its length from the time at which it sent the
    /// request.
    Granted {
        /// Length of the lease.
        lease: Duration,
        /// Changes since the view version that the sender reported.
        update: ViewUpdate,
    },
    /// Another process leads the zone group.
    NotLeader {
        /// The leader, if known.
        leader: Option<VmId>,
    },
    /// The renewal is invalid and must not be resent unchanged.
    Refused(RenewRefusal),
}
