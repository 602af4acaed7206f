//! Route tables of before.

use std::collections::VecDeque;
use std::sync::Arc;

use chicory_routes::{RouteTable, RouteTableDelta, RouteTableVersion};

/// Tables that are remembered: followers lag by one or two, and a large table takes some 0.5 MB.
const MAX_TABLES: usize = 4;

/// The last route tables, so that followers can be told the difference.
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
/// history.note(table(3));
/// assert_eq!(history.delta(3, &table(4)).base_version, 3);
/// assert!(history.delta(2, &table(4)).is_whole());
/// ```
#[derive(Clone, Debug, Default)]
pub struct RouteHistory {
    tables: VecDeque<Arc<RouteTable>>,
}

impl RouteHistory {
    /// Remembers a table that came into force.
    pub fn note(&mut self, table: Arc<RouteTable>) {
        self.tables.push_back(table);
        if self.tables.len() > MAX_TABLES {
            self.tables.pop_front();
        }
    }

    /// What leads a follower from the table that it knows to `table`; all of it if the known one is
    /// not remembered.
    #[must_use]
    pub fn delta(&self, known: RouteTableVersion, table: &RouteTable) -> RouteTableDelta {
        let base = self.tables.iter().find(|base| base.version == known);
        base.map_or_else(
            || RouteTableDelta::whole(table),
            |base| RouteTableDelta::between(base, table),
        )
    }
}
