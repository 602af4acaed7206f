//! Counts of requests that were not served.

use std::collections::BTreeMap;
use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;

/// Width of the classes of durations.
const DURATION_CLASS_MS: u128 = 500;

/// Counts of requests that were not served, by entry VM, route, outcome and duration.
///
/// Their text tells whether one entry VM, one service or all of them are affected, and whether
/// requests fail at once or wait.
#[derive(Debug, Default)]
pub struct UnservedRequests {
    counts: BTreeMap<(SocketAddr, String, String, u128), u64>,
}

impl UnservedRequests {
    /// Counts a request that took `elapsed`. The route is the first segment of its path.
    pub fn record(&mut self, entry: SocketAddr, path: &str, outcome: &str, elapsed: Duration) {
        let route = path.trim_start_matches('/').split('/').next();
        let class = elapsed.as_millis() / DURATION_CLASS_MS;
        let kind = (
            entry,
            route.unwrap_or_default().to_owned(),
            outcome.to_owned(),
            class,
        );
        *self.counts.entry(kind).or_default() += 1;
    }
}

impl fmt::Display for UnservedRequests {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let mut separator = "";
        for ((entry, route, outcome, class), count) in &self.counts {
            let from_ms = class * DURATION_CLASS_MS;
            write!(
                f,
                "{separator}{count} {route} at {entry} ended with {outcome} after {from_ms} ms or \
                 more"
            )?;
            separator = "; ";
        }
        if self.counts.is_empty() {
            write!(f, "no request ended without being served")?;
        }
        Ok(())
    }
}
