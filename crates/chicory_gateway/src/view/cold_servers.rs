//! Backend servers that are cold, as an entry VM knows them.

use std::collections::BTreeMap;
use std::time::Duration;

use chicory_directory::ServerRecord;
use chicory_ranges::ServerIncarnation;
use chicory_routes::RouteTable;
use chicory_types::{MonoTime, ServiceName};

/// Time for which a server counts as cold after the end that its record states. Control VMs don't
/// pass on ends that are later by up to this much.
const MARGIN: Duration = Duration::from_millis(500);

/// A server that its record says is cold.
#[derive(Clone, Copy, Debug)]
struct ColdServer {
    since: MonoTime,
    until: MonoTime,
}

/// Backend servers that are cold, as an entry VM knows them.
///
/// A record states how long its server stays cold as of its announcement. It counts from when the
/// record is received, so the end is never too early, whichever clock the server has. A record that
/// says that the server is warm ends it at once.
#[derive(Debug, Default)]
pub(crate) struct ColdServers {
    servers: BTreeMap<ServerIncarnation, ColdServer>,
    /// Requests that one cold server bears in a second, by service.
    rates_per_s: BTreeMap<ServiceName, f64>,
}

impl ColdServers {
    /// Records what a received record says.
    pub(crate) fn record(&mut self, now: MonoTime, record: &ServerRecord) {
        if record.cold_for.is_zero() {
            self.servers.remove(&record.incarnation);
            return;
        }
        let until = now + record.cold_for + MARGIN;
        let cold = ColdServer { since: now, until };
        self.servers.insert(record.incarnation.clone(), cold);
    }

    /// Records the limits of a route table.
    pub(crate) fn record_routes(&mut self, routes: &RouteTable) {
        let rates = routes.services.iter().filter_map(|service| {
            let rate_per_s = service.cold_rate_per_s()?;
            Some((service.name.clone(), rate_per_s))
        });
        self.rates_per_s = rates.collect();
    }

    /// Returns the requests per second that a server bears because it is cold; `None` if it is warm
    /// or its service has no cold limit.
    pub(crate) fn rate_per_s(&self, now: MonoTime, record: &ServerRecord) -> Option<f64> {
        let cold = self.servers.get(&record.incarnation)?;
        let rate_per_s = self.rates_per_s.get(&record.service)?;
        (now < cold.until).then_some(*rate_per_s)
    }

    /// Returns whether the route table limits the requests to cold servers of a service.
    pub(crate) fn has_limit(&self, service: &str) -> bool {
        self.rates_per_s.contains_key(service)
    }

    /// Returns when the record was received that says that a server is cold.
    pub(crate) fn since(&self, incarnation: &ServerIncarnation) -> Option<MonoTime> {
        Some(self.servers.get(incarnation)?.since)
    }

    /// Keeps only servers that are still known.
    pub(crate) fn retain(&mut self, is_known: impl Fn(&ServerIncarnation) -> bool) {
        self.servers.retain(|incarnation, _| is_known(incarnation));
    }
}
