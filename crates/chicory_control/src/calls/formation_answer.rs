//! What a member without memory is told.

use std::collections::BTreeSet;

use chicory_consensus::MemberId;
use chicory_types::VmId;
use serde::{Deserialize, Serialize};

/// What a member without memory is told.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum FormationAnswer {
    /// Ask again: it isn't clear yet whether the group lives.
    Wait,
    /// Wait to be admitted by the group of this epoch, which lives.
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
        /// The leader, where it is known.
        leader: Option<VmId>,
    },
}
