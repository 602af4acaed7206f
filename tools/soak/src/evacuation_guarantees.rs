//! The guarantee that servers of an evacuated availability zone get no requests.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use crate::disturbances::Disturbances;

/// Time after an acknowledgement from which no request may reach a server of the zone. It is part of
/// the operators' requirements.
const EVACUATION_TIME: Duration = Duration::from_secs(5);
/// Time for which requests are remembered.
const RETENTION: Duration = Duration::from_secs(10);

/// Checks that servers of evacuated availability zones get no requests.
#[derive(Debug, Default)]
pub struct EvacuationGuarantees {
    /// Zone of each incarnation of a server, by its name.
    zones: BTreeMap<String, String>,
    /// Entry VM of each request, and when its caller sent it.
    requests: BTreeMap<String, (SocketAddr, Instant)>,
    /// When the evacuation of each zone was acknowledged.
    acknowledged_at: BTreeMap<String, Instant>,
    /// Number of requests that reached servers of each zone.
    arrivals: BTreeMap<String, u64>,
}

impl EvacuationGuarantees {
    /// Records that an incarnation of a server starts in a zone.
    pub fn record_server(&mut self, server: &str, zone: &str) {
        self.zones.insert(server.to_owned(), zone.to_owned());
    }

    /// Records that a caller is about to send a request to an entry VM.
    pub fn record_request(&mut self, attempt_id: &str, entry: SocketAddr) {
        let sent_at = Instant::now();
        self.requests.retain(|_, (_, at)| sent_at < *at + RETENTION);
        let request = (entry, sent_at);
        self.requests.insert(attempt_id.to_owned(), request);
    }

    /// Records that the evacuation of a zone was acknowledged at a moment.
    pub fn record_begin(&mut self, zone: &str, at: Instant) {
        self.acknowledged_at.entry(zone.to_owned()).or_insert(at);
    }

    /// Records that an operator is about to revoke the evacuation of a zone.
    pub fn record_finish(&mut self, zone: &str) {
        self.acknowledged_at.remove(zone);
    }

    /// Returns the number of requests that reached servers of a zone.
    #[must_use]
    pub fn arrivals(&self, zone: &str) -> u64 {
        self.arrivals.get(zone).copied().unwrap_or(0)
    }

    /// Checks a request that reaches a server which doesn't answer it with 421. Returns the
    /// violation.
    pub fn record_arrival(
        &mut self,
        server: &str,
        attempt_id: &str,
        disturbances: &Disturbances,
    ) -> Option<String> {
        let now = Instant::now();
        let zone = self.zones.get(server)?;
        *self.arrivals.entry(zone.clone()).or_default() += 1;
        let acknowledged_at = *self.acknowledged_at.get(zone)?;
        let (entry, _) = *self.requests.get(attempt_id)?;
        let bound_from = now.checked_sub(EVACUATION_TIME)?;
        let is_late = acknowledged_at < bound_from;
        let is_undisturbed = disturbances.none_for_entry_between(entry, bound_from, now);
        (is_late && is_undisturbed).then(|| {
            let after = now.duration_since(acknowledged_at);
            format!("{server} of {zone} gets a request of {entry} {after:?} after its evacuation")
        })
    }
}
