//! Answers to calls of operators and backend servers.

use chicory_routes::RouteTable;

/// What became of a [`SiteCall`](crate::SiteCall).
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SiteAnswer {
    /// It is done, and survives every loss that the group survives.
    Done,
    /// The route table in force.
    Routes(RouteTable),
    /// The route table can't be in force, and why; nothing changed.
    Invalid(String),
    /// An announcement of a life that has ended or left.
    Stale,
    /// An announcement for a service that the route table does not have.
    UnknownService,
    /// The group can't answer now; the outcome of a change is unknown.
    Unavailable,
}
