//! Where a route applies.

/// Host and path prefix of a route: no two routes of a table share them.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct RoutePlace {
    /// Host that the request names.
    pub host: String,
    /// Prefix of the path; begins and ends with `/`.
    pub path_prefix: String,
}
