//! Answers to calls of operators and backend servers.

use std::collections::BTreeSet;

use chicory_routes::RouteTable;
use chicory_types::ZoneName;

/// The answer to a [`SiteCall`](crate::SiteCall).
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SiteAnswer {
    /// The call succeeded, and its effect survives every failure that the control group survives.
    Done,
    /// The route table in force.
    Routes(RouteTable),
    /// The route table is invalid, for this reason; nothing changed.
    Invalid(String),
    /// The announced incarnation has already ended or left.
    Stale,
    /// The announced service is not in the route table.
    UnknownService,
    /// The deployment has no such availability zone.
    UnknownZone,
    /// The availability zones that are evacuated.
    EvacuatedZones(BTreeSet<ZoneName>),
    /// The control group can't answer now; a requested change may or may not have been made.
    Unavailable,
}
