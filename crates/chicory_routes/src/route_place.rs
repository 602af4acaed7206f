//! Host and path prefix of a route.

/// Host and path prefix of a route: no two routes of a table share them.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct RoutePlace {
    /// Host of the requests.
    pub host: String,
    /// Prefix of the path; begins and ends with `/`.
    pub path_prefix: String,
}
