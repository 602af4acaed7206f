//! The rate limits of backend servers by which keys are planned.

use std::collections::BTreeMap;
use std::time::Duration;

use chicory_ranges::ServerIncarnation;
use chicory_types::MonoTime;

/// Time for which a limit has to be higher, or lifted, before keys are planned by that. Each move of
/// keys costs callers a pause, so a limit that comes and goes must not move them to and fro.
const RISE_DELAY: Duration = Duration::from_secs(10);

#[derive(Clone, Copy, Debug)]
struct PlannedRate {
    rate_per_s: f64,
    /// When the limit was last this low.
    confirmed_at: MonoTime,
}

/// The rate limits of backend servers by which keys are planned: they follow a limit that falls at
/// once, and one that rises or ends after a delay.
#[derive(Clone, Debug, Default)]
pub(super) struct PlannedRates {
    rates: BTreeMap<ServerIncarnation, PlannedRate>,
}

impl PlannedRates {
    /// Records the limits that are in force, of all servers that have one.
    pub(super) fn update(
        &mut self,
        now: MonoTime,
        in_force: impl Iterator<Item = (ServerIncarnation, f64)>,
    ) {
        for (incarnation, rate_per_s) in in_force {
            let planned = self.rates.entry(incarnation).or_insert(PlannedRate {
                rate_per_s,
                confirmed_at: now,
            });
            if rate_per_s <= planned.rate_per_s || now >= planned.confirmed_at + RISE_DELAY {
                *planned = PlannedRate {
                    rate_per_s,
                    confirmed_at: now,
                };
            }
        }
        self.rates
            .retain(|_, planned| now < planned.confirmed_at + RISE_DELAY);
    }

    /// Returns the rate by which the keys of a server are planned, in requests per second.
    pub(super) fn rate_per_s(&self, incarnation: &ServerIncarnation) -> Option<f64> {
        Some(self.rates.get(incarnation)?.rate_per_s)
    }

    pub(super) fn clear(&mut self) {
        self.rates.clear();
    }
}
