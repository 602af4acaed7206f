//! Health of the backend servers of a zone.

use std::collections::BTreeMap;
use std::time::Duration;

use chicory_types::{Incarnation, MonoTime, ServerId};

use crate::{ServerCondition, ServerRecord, ServerReport};

/// Share of its weight that a newly started server gets at first, in percent.
const COLD_START_PERCENT: f64 = 10.0;

/// Health of one server.
#[derive(Clone, Debug)]
struct Health {
    incarnation: Incarnation,
    last_contact_at: MonoTime,
    /// When the server came up, if this leader observed it.
    up_since: Option<MonoTime>,
    condition: ServerCondition,
}

/// Health of the zone's backend servers, derived from announcements and dispatcher reports.
#[derive(Clone, Debug, Default)]
pub struct ServerHealth {
    servers: BTreeMap<ServerId, Health>,
}

impl ServerHealth {
    /// Records an announcement. `is_known` is true if this or a later incarnation is registered.
    pub fn on_announcement(&mut self, now: MonoTime, record: &ServerRecord, is_known: bool) {
        let up_since = (!is_known).then_some(now);
        let health = self.entry(now, &record.server, record.incarnation);
        health.last_contact_at = now;
        if health.up_since.is_none() {
            health.up_since = up_since;
        }
    }

    /// Records a dispatcher's report.
    pub fn on_report(&mut self, now: MonoTime, report: &ServerReport) {
        let health = self.entry(now, &report.server, report.incarnation);
        if health.incarnation != report.incarnation {
            return;
        }
        let has_recovered =
            health.condition == ServerCondition::Down && report.condition == ServerCondition::Up;
        if has_recovered {
            health.up_since = Some(now);
        }
        if report.condition == ServerCondition::Up {
            health.last_contact_at = now;
        }
        health.condition = report.condition;
    }

    /// Returns whether this incarnation of the server was last reported as down.
    #[must_use]
    pub fn is_down(&self, server: &ServerId, incarnation: Incarnation) -> bool {
        self.servers.get(server).is_some_and(|health| {
            health.incarnation == incarnation && health.condition == ServerCondition::Down
        })
    }

    /// Returns the share of its weight that the server gets while it warms up, in `0.0..=1.0`.
    #[must_use]
    pub fn warmup_factor(&self, now: MonoTime, server: &ServerId, ramp: Duration) -> f64 {
        let up_since = self.servers.get(server).and_then(|health| health.up_since);
        let Some(up_since) = up_since else {
            return 1.0;
        };
        let age = now.saturating_sub(up_since);
        if age >= ramp {
            return 1.0;
        }
        let start = COLD_START_PERCENT / 100.0;
        start + (1.0 - start) * age.as_secs_f64() / ramp.as_secs_f64()
    }

    /// Returns the time since the last contact with the server, or `None` if it is not tracked.
    #[must_use]
    pub fn time_since_contact(&self, now: MonoTime, server: &ServerId) -> Option<Duration> {
        let health = self.servers.get(server)?;
        Some(now.saturating_sub(health.last_contact_at))
    }

    /// Starts tracking a registered server if it is not tracked yet, with `now` as the time of last
    /// contact.
    pub fn start_tracking(&mut self, now: MonoTime, server: &ServerId, incarnation: Incarnation) {
        self.entry(now, server, incarnation);
    }

    /// Stops tracking servers whose last contact is longer ago than `limit`.
    pub fn forget_unresponsive(&mut self, now: MonoTime, limit: Duration) {
        self.servers
            .retain(|_, health| now.saturating_sub(health.last_contact_at) <= limit);
    }

    fn entry(&mut self, now: MonoTime, server: &ServerId, incarnation: Incarnation) -> &mut Health {
        let fresh = Health {
            incarnation,
            last_contact_at: now,
            up_since: None,
            condition: ServerCondition::Up,
        };
        let health = self
            .servers
            .entry(server.clone())
            .or_insert_with(|| fresh.clone());
        if health.incarnation < incarnation {
            *health = fresh;
        }
        health
    }
}
