//! Changes from one route table to another.

use std::collections::BTreeMap;

use crate::{CallerLimits, Route, RoutePlace, RouteTable, RouteTableVersion, RoutedService};

/// Difference between two route tables.
///
/// Large tables change a little at a time, and links to entry VMs may have little bandwidth.
///
/// # Examples
///
/// ```
/// use chicory_routes::{RouteTable, RouteTableDelta};
///
/// let former = RouteTable { version: 3, ..RouteTable::default() };
/// let latter = RouteTable { version: 7, ..RouteTable::default() };
/// let delta = RouteTableDelta::between(&former, &latter);
/// assert!(delta.applies_to(&former));
/// assert_eq!(delta.apply(former), latter);
/// ```
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RouteTableDelta {
    /// Version of the table that results.
    pub version: RouteTableVersion,
    /// Version of the table that the delta applies to; 0 means any, as it holds the whole table.
    pub base_version: RouteTableVersion,
    /// Routes that are new or changed.
    pub routes: Vec<Route>,
    /// Host and path prefix of each removed route.
    pub removed: Vec<RoutePlace>,
    /// All services.
    pub services: Vec<RoutedService>,
    /// The limits, if the table states any.
    pub limits: Option<CallerLimits>,
}

impl RouteTableDelta {
    /// Creates the delta that turns `base` into `table`.
    #[must_use]
    pub fn between(base: &RouteTable, table: &RouteTable) -> Self {
        let mut former = by_place(&base.routes);
        let mut routes = Vec::new();
        for route in &table.routes {
            if former.remove(&(&route.host, &route.path_prefix)) != Some(route) {
                routes.push(route.clone());
            }
        }
        Self {
            version: table.version,
            base_version: base.version,
            routes,
            removed: former.into_values().map(Route::place).collect(),
            services: table.services.clone(),
            limits: table.limits.clone(),
        }
    }

    /// Creates a delta that holds the whole table.
    #[must_use]
    pub fn whole(table: &RouteTable) -> Self {
        Self::between(&RouteTable::default(), table)
    }

    /// Returns whether it holds the whole table.
    #[must_use]
    pub fn is_whole(&self) -> bool {
        self.base_version == 0
    }

    /// Returns whether it can be applied to `base`.
    #[must_use]
    pub fn applies_to(&self, base: &RouteTable) -> bool {
        self.is_whole() || self.base_version == base.version
    }

    /// Applies the delta to a table that it [applies to](Self::applies_to) and returns the result.
    ///
    /// The order of the routes, which has no meaning, may differ from that of the table that the
    /// delta was made from.
    #[must_use]
    pub fn apply(self, base: RouteTable) -> RouteTable {
        let former = if self.is_whole() {
            Vec::new()
        } else {
            base.routes
        };
        let mut routes: BTreeMap<RoutePlace, Route> =
            former.into_iter().map(|r| (r.place(), r)).collect();
        for place in &self.removed {
            routes.remove(place);
        }
        routes.extend(self.routes.into_iter().map(|r| (r.place(), r)));
        RouteTable {
            version: self.version,
            routes: routes.into_values().collect(),
            services: self.services,
            limits: self.limits,
        }
    }
}

fn by_place(routes: &[Route]) -> BTreeMap<(&String, &String), &Route> {
    let routes = routes.iter();
    routes.map(|r| ((&r.host, &r.path_prefix), r)).collect()
}
