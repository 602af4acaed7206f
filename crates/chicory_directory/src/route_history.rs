//! What changed in the route table, version by version.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;

use chicory_routes::{Route, RoutePlace, RouteTable, RouteTableDelta, RouteTableVersion};

/// Changed places that are remembered; some 2 MB, and several times the routes of a grown site.
const MAX_PLACES: usize = 20_000;

/// Which routes each table changed, so that followers are told what changed for them and no more,
/// however many tables they lag behind.
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

/// The step from one table to the next.
#[derive(Clone, Debug)]
struct TableChange {
    base_version: RouteTableVersion,
    /// Places whose routes are new, changed or gone.
    places: Vec<RoutePlace>,
}

impl RouteHistory {
    /// Remembers a table that came into force.
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

    /// What leads a follower from the table that it knows to `table`; all of it if the known one is
    /// not remembered.
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

    /// Places that changed since a table; `None` if that is not remembered.
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
        Some(later.flat_map(|c| c.places.iter().cloned()).collect())
    }
}

fn changed_places(base: &RouteTable, table: &RouteTable) -> Vec<RoutePlace> {
    let mut former: BTreeMap<RoutePlace, &Route> =
        base.routes.iter().map(|r| (r.place(), r)).collect();
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
