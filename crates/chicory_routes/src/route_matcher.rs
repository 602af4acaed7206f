//! Finds the route of a request.

use std::collections::BTreeMap;
use std::sync::Arc;

use chicory_types::ServiceName;

use crate::{Route, RouteTable, RouteTableDelta, RouteTarget, SplitCursor};

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

    /// Returns the service for the next request.
    ///
    /// Over many requests, each part of a split gets its weight's share.
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
    /// Creates an index of a table that was checked.
    #[must_use]
    pub fn new(table: &RouteTable) -> Self {
        let mut matcher = Self::default();
        matcher.apply(&RouteTableDelta::whole(table));
        matcher
    }

    /// Applies a change of the table; routes that stay the same keep the state of their splits.
    pub fn apply(&mut self, delta: &RouteTableDelta) {
        let mut former = if delta.is_whole() {
            std::mem::take(&mut self.hosts)
        } else {
            BTreeMap::new()
        };
        for place in &delta.removed {
            self.remove(&place.host.to_ascii_lowercase(), &place.path_prefix);
        }
        for route in &delta.routes {
            let host = route.host.to_ascii_lowercase();
            let known = former.get_mut(&host);
            let known = known.and_then(|prefixes| prefixes.remove(&route.path_prefix));
            let matched = known
                .filter(|known| known.route == *route)
                .unwrap_or_else(|| Arc::new(MatchedRoute::new(route.clone())));
            let prefixes = self.hosts.entry(host).or_default();
            prefixes.insert(route.path_prefix.clone(), matched);
        }
    }

    fn remove(&mut self, host: &str, path_prefix: &str) {
        let Some(prefixes) = self.hosts.get_mut(host) else {
            return;
        };
        prefixes.remove(path_prefix);
        if prefixes.is_empty() {
            self.hosts.remove(host);
        }
    }

    /// Returns the route of `host` with the longest prefix that begins `path`.
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
