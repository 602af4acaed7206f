//! A group that a control process may be a member of.

use serde::{Deserialize, Serialize};

/// A group that a control process may be a member of.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum GroupName {
    /// The group of the whole cluster.
    Global,
    /// The group of the process's availability zone.
    Zone,
}
