//! Creates the reports to the control VM.

use chicory_directory::{EntryReport, KeyCount, ServerLoad};
use chicory_types::MonoTime;

use super::{Gateway, GatewayConfig, Policy};

impl Gateway {
    /// Returns the settings.
    #[must_use]
    pub fn config(&self) -> &GatewayConfig {
        &self.config
    }

    /// Returns what happened since the previous report.
    pub fn take_report(&mut self, now: MonoTime) -> EntryReport {
        let can_relay = self.can_relay(now);
        let rests = self.take_rests(now);
        let (limits, permits) = self.limited.take_reports(now, &self.directory);
        let keys = std::mem::take(&mut self.key_counts).into_iter();
        let directory = &self.directory;
        // The leader sums up the requests that are at the owners of keys.
        let is_busy_owner = |incarnation| {
            let record = directory.server(incarnation);
            record.is_some_and(|record| directory.is_keyed(&record.service))
        };
        let reports_owners = self.config.is_enabled(Policy::OwnerAdmission);
        let servers = self.health.iter_mut().filter(|(incarnation, health)| {
            health.answered + health.shed > 0
                || (reports_owners && health.in_flight > 0 && is_busy_owner(incarnation))
        });
        EntryReport {
            keys: keys
                .map(|((service, key), request_count)| KeyCount {
                    service,
                    key,
                    request_count,
                })
                .collect(),
            servers: servers
                .map(|(incarnation, health)| ServerLoad {
                    incarnation: incarnation.clone(),
                    in_flight: health.in_flight,
                    answered: std::mem::take(&mut health.answered),
                    shed: std::mem::take(&mut health.shed),
                    service_time: std::mem::take(&mut health.service_time),
                    stated: health.load.and_then(|load| load.stated),
                })
                .collect(),
            poison: self.crashes.take_reports(),
            limits,
            permits,
            rests,
            leaving: std::mem::take(&mut self.unreported_leaving)
                .into_iter()
                .collect(),
            accepts_server_limits: true,
            can_relay,
            accepts_server_shares: self.config.is_enabled(Policy::Shares),
            accepts_owner_admission: reports_owners,
        }
    }
}
