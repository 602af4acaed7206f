//! Finds the route of a request.

use std::collections::BTreeMap;
use std::sync::Arc;

use chicory_types::ServiceName;

use crate::{Route, RouteTable, RouteTarget, SplitCursor};

/// A route with the state of its split.
#[derive(Debug)]
pub struct MatchedRoute {
    /// The route.
    pub route: Route,
    cursor: Option<SplitCursor>,
}

impl MatchedRoute {
    fn new(route: Route) -> Self {
        let cursor = match &route.target {
            RouteTarget::Service(_) => None,
            RouteTarget::Split(parts) => Some(SplitCursor::new(parts.iter().map(|p| p.weight))),
        };
        Self { route, cursor }
    }

    /// The service for the next request; over many requests each part gets its weight's share.
    #[must_use]
    pub fn next_service(&self) -> &ServiceName {
        match (&self.route.target, &self.cursor) {
            (RouteTarget::Split(parts), Some(cursor)) => &parts[cursor.next()].service,
            (RouteTarget::Split(parts), None) => &parts[0].service,
            (RouteTarget::Service(service), _) => service,
        }
    }
}

/// An index over the routes of one table.
///
/// # Examples
///
/// ```
/// use chicory_routes::{RouteMatcher, RouteTable};
///
/// let matcher = RouteMatcher::new(&RouteTable::default());
/// assert!(matcher.find("example.org", "/a/b").is_none());
/// ```
#[derive(Debug, Default)]
pub struct RouteMatcher {
    hosts: BTreeMap<String, BTreeMap<String, Arc<MatchedRoute>>>,
}

impl RouteMatcher {
    /// Indexes a table that was checked.
    #[must_use]
    pub fn new(table: &RouteTable) -> Self {
        let mut hosts: BTreeMap<String, BTreeMap<String, Arc<MatchedRoute>>> = BTreeMap::new();
        for route in &table.routes {
            let matched = Arc::new(MatchedRoute::new(route.clone()));
            let prefixes = hosts.entry(route.host.to_ascii_lowercase()).or_default();
            prefixes.insert(route.path_prefix.clone(), matched);
        }
        Self { hosts }
    }

    /// The route of `host` with the longest prefix that begins `path`.
    #[must_use]
    pub fn find(&self, host: &str, path: &str) -> Option<&Arc<MatchedRoute>> {
        let prefixes = match self.hosts.get(host) {
            Some(prefixes) => prefixes,
            None => self.hosts.get(&host.to_ascii_lowercase())?,
        };
        let slashes = path.bytes().enumerate().rev();
        slashes
            .filter(|(_, byte)| *byte == b'/')
            .find_map(|(at, _)| prefixes.get(&path[..=at]))
    }
}
