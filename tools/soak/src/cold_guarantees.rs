//! The guarantee that cold servers get no more requests than they can take.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use crate::disturbances::Disturbances;

/// Time after a hindrance in which requests that it held back may arrive together.
const HELD_BACK_TIME: Duration = Duration::from_secs(2);

/// Checks that cold servers get no more requests than they can take.
#[derive(Debug, Default)]
pub struct ColdGuarantees {
    hindered_until: BTreeMap<String, Instant>,
}

impl ColdGuarantees {
    /// Records that connections to a server are hindered for a time, so that requests to it may
    /// arrive together.
    pub fn record_hindrance(&mut self, server: &str, length: Duration) {
        let until = Instant::now() + length;
        let known = self
            .hindered_until
            .entry(server.to_owned())
            .or_insert(until);
        *known = until.max(*known);
    }

    /// Checks a server that got too many requests while it was cold. Returns the violation. Only
    /// what holds requests back on their way excuses it: the limit binds entry VMs without control
    /// VMs as well.
    #[must_use]
    pub fn check_overload(
        &self,
        server: &str,
        requests: u32,
        disturbances: &Disturbances,
    ) -> Option<String> {
        let now = Instant::now();
        let hindered_until = self.hindered_until.get(server);
        let is_hindered = hindered_until.is_some_and(|until| now < *until + HELD_BACK_TIME);
        (!is_hindered && disturbances.no_cut_until(now))
            .then(|| format!("{server} is cold and gets {requests} requests within a second"))
    }
}
