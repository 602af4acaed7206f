//! The answer to a formation request.

use std::collections::BTreeSet;

use chicory_consensus::MemberId;
use chicory_types::VmId;
use serde::{Deserialize, Serialize};

/// The answer to a formation request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum FormationAnswer {
    /// Ask again later: it isn't known yet whether the group exists or a later one was formed.
    Wait,
    /// Join the group of this epoch, which exists, and wait until it admits this process.
    Join {
        /// Epoch of the group.
        group_epoch: u64,
    },
    /// Form the group of this epoch with these members.
    Found {
        /// Epoch of the group.
        group_epoch: u64,
        /// Its founders.
        founders: BTreeSet<MemberId>,
    },
    /// Another process leads the global group.
    NotLeader {
        /// The leader, if it is known.
        leader: Option<VmId>,
    },
}
