//! Entry processes of an availability zone.

use chicory_types::ZoneName;
use serde::{Deserialize, Serialize};

use crate::EntryRecord;

/// Entry processes of an availability zone.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ZoneDirectory {
    /// The zone.
    pub zone: ZoneName,
    /// Its entry processes.
    pub entries: Vec<EntryRecord>,
}
