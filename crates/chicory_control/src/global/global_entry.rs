//! A command of the global group's log.

use chicory_ownership::GlobalCommand;
use chicory_types::ZoneName;

use crate::ZoneFormation;

/// A command of the global group's log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum GlobalEntry {
    /// A command on table or custody.
    Ownership(GlobalCommand),
    /// A zone's group is to be formed; changes nothing unless the epoch is the next one.
    FormZone {
        /// The zone.
        zone: ZoneName,
        /// Its formation.
        formation: ZoneFormation,
    },
}
