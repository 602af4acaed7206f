//! A command of the global group's log.

use chicory_ownership::GlobalCommand;
use chicory_types::ZoneName;

use crate::ZoneFormation;

/// A command of the global group's log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum GlobalEntry {
    /// A command on the table or on custody.
    Ownership(GlobalCommand),
    /// Forms a zone's group. Has no effect unless its epoch is the next one of that zone.
    FormZone {
        /// The zone.
        zone: ZoneName,
        /// Epoch and founders of the group.
        formation: ZoneFormation,
    },
}
