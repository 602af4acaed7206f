//! Which servers are cold according to the replicated state.

use chicory_ranges::ServerIncarnation;
use chicory_types::LogIndex;

use crate::{ServerRecord, SiteState};

impl SiteState {
    /// Returns the requests that a server bears in a second while it is cold, if its record says
    /// that it is and its service has a cold limit.
    #[must_use]
    pub fn cold_rate_per_s(&self, incarnation: &ServerIncarnation) -> Option<f64> {
        let record = self.server(&incarnation.server)?;
        let is_cold = record.incarnation == *incarnation && !record.cold_for.is_zero();
        let service = self.routes().service(&record.service)?;
        service.cold_rate_per_s().filter(|_| is_cold)
    }

    /// Returns whether a service limits the requests to its cold servers.
    #[must_use]
    pub fn has_cold_limit(&self, service: &str) -> bool {
        let service = self.routes().service(service);
        service.is_some_and(|service| service.cold_rate_per_s().is_some())
    }

    /// Returns whether a record that differs from the known one in the cold time at most says
    /// something new: the server turned cold or warm, or is cold for this time from now on.
    /// Services without a cold limit don't use the time.
    pub(crate) fn is_cold_time_new(&self, known: &ServerRecord, next: &ServerRecord) -> bool {
        let is_warm = known.cold_for.is_zero() && next.cold_for.is_zero();
        !is_warm && self.has_cold_limit(&next.service)
    }

    /// Records that all servers of an availability zone stay cold for at least the cold time of
    /// their services, from now on: nothing was sent to them, and what they announced may be out of
    /// date. Services without a cold limit are left as they are.
    pub(crate) fn mark_zone_cold(&mut self, index: LogIndex, zone: &str) {
        let routes = &self.routes.value;
        for server in self.servers.values_mut() {
            let record = &mut server.value;
            let service = routes.service(&record.service);
            let limited = service.filter(|service| service.cold_rate_per_s().is_some());
            let cold_time = limited.and_then(|service| service.cold_time);
            if let Some(cold_time) = cold_time.filter(|time| !time.is_zero() && record.zone == zone)
            {
                record.cold_for = record.cold_for.max(cold_time);
                // Followers count from when they receive the record, so they get it again even if
                // it is unchanged.
                server.changed_at = index;
            }
        }
    }
}
