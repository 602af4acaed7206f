//! The changes of the route table from version to version.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;

use chicory_routes::{Route, RoutePlace, RouteTable, RouteTableDelta, RouteTableVersion};

/// Maximum number of changed places that are kept. They take about 2 MB, and a large site has only
/// a fraction of this number of routes.
const MAX_PLACES: usize = 20_000;

/// The routes that each table changed, so that a follower is sent only the routes that changed
/// since its own table, no matter how many tables it lags behind.
///
/// A [`RoutePlace`], the host and path prefix of a route, identifies the route in a table.
///
/// # Examples
///
/// ```
/// use chicory_directory::RouteHistory;
/// use chicory_routes::RouteTable;
/// use std::sync::Arc;
///
/// let table = |version| Arc::new(RouteTable { version, ..RouteTable::default() });
/// let mut history = RouteHistory::default();
/// history.record(table(3));
/// assert_eq!(history.delta(3, &table(4)).base_version, 3);
/// assert!(history.delta(2, &table(4)).is_whole());
/// ```
#[derive(Clone, Debug, Default)]
pub struct RouteHistory {
    latest: Arc<RouteTable>,
    changes: VecDeque<TableChange>,
    place_count: usize,
}

/// The change from one table to the next.
#[derive(Clone, Debug)]
struct TableChange {
    base_version: RouteTableVersion,
    /// Places whose routes were added, changed or removed.
    places: Vec<RoutePlace>,
}

impl RouteHistory {
    /// Records a table that came into force.
    pub fn record(&mut self, table: Arc<RouteTable>) {
        let change = TableChange {
            base_version: self.latest.version,
            places: changed_places(&self.latest, &table),
        };
        self.place_count += change.places.len();
        self.changes.push_back(change);
        self.latest = table;
        while self.place_count > MAX_PLACES
            && let Some(oldest) = self.changes.pop_front()
        {
            self.place_count -= oldest.places.len();
        }
    }

    /// Returns the delta that brings a follower from the table of version `known` to `table`.
    ///
    /// The delta contains the whole table if the history does not reach back to the known one.
    #[must_use]
    pub fn delta(&self, known: RouteTableVersion, table: &RouteTable) -> RouteTableDelta {
        let Some(mut places) = self.places_since(known) else {
            return RouteTableDelta::whole(table);
        };
        if table.version != self.latest.version {
            places.extend(changed_places(&self.latest, table));
        }
        let mut routes = Vec::new();
        for route in &table.routes {
            if places.remove(&route.place()) {
                routes.push(route.clone());
            }
        }
        RouteTableDelta {
            version: table.version,
            base_version: known,
            routes,
            removed: places.into_iter().collect(),
            services: table.services.clone(),
            limits: table.limits.clone(),
        }
    }

    /// Returns the places that changed since the table of version `known`, or `None` if the history
    /// does not reach back to it.
    fn places_since(&self, known: RouteTableVersion) -> Option<BTreeSet<RoutePlace>> {
        if known == 0 {
            return None;
        }
        if known == self.latest.version {
            return Some(BTreeSet::new());
        }
        let mut changes = self.changes.iter();
        let first = changes.position(|change| change.base_version == known)?;
        let later = self.changes.iter().skip(first);
        Some(
            later
                .flat_map(|change| change.places.iter().cloned())
                .collect(),
        )
    }
}

/// Returns the places whose routes differ between two tables.
fn changed_places(base: &RouteTable, table: &RouteTable) -> Vec<RoutePlace> {
    let mut former: BTreeMap<RoutePlace, &Route> = base
        .routes
        .iter()
        .map(|route| (route.place(), route))
        .collect();
    let mut changed = Vec::new();
    for route in &table.routes {
        let place = route.place();
        if former.remove(&place) != Some(route) {
            changed.push(place);
        }
    }
    changed.extend(former.into_keys());
    changed
}
