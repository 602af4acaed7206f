//! Decides what servers of evacuated availability zones still get.

use std::time::Duration;

use chicory_directory::ServerRecord;
use chicory_types::MonoTime;

use super::Gateway;

impl Gateway {
    /// Whether nothing may be sent to a server because its zone is evacuated. The owner of a key
    /// gets requests for it a while longer: until its keys have moved, no other server serves them.
    pub(super) fn is_evacuated(&self, now: MonoTime, record: &ServerRecord) -> bool {
        let grace = if self.directory.is_keyed(&record.service) {
            self.config.evacuation_grace
        } else {
            Duration::ZERO
        };
        let evacuations = self.directory.evacuations();
        evacuations.has_passed(now, &record.zone, grace)
    }

    /// Whether all servers of a service that accept work are in evacuated zones, so that keys can't
    /// get another owner.
    pub(super) fn has_only_evacuated_servers(&self, now: MonoTime, service: &str) -> bool {
        let mut of_service = self.directory.servers().filter(|r| r.service == service);
        self.directory.ready_servers(service).next().is_none()
            && of_service.any(|record| self.is_evacuated(now, record))
    }
}
