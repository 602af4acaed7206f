//! Creates the reports to the control VM.

use chicory_directory::{EntryReport, KeyCount, ServerLoad};
use chicory_types::MonoTime;

use super::{Gateway, Policy};

impl Gateway {
    /// Returns what happened since the previous report.
    pub fn take_report(&mut self, now: MonoTime) -> EntryReport {
        let can_relay = self.can_relay(now);
        let rests = self.take_rests(now);
        let (limits, permits) = self.limited.take_reports(now);
        let keys = std::mem::take(&mut self.key_counts).into_iter();
        let servers = self
            .health
            .iter_mut()
            .filter(|(_, health)| health.answered + health.shed > 0);
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
            accepts_owner_admission: false,
        }
    }
}
