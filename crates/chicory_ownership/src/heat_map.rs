//! Estimated load of slots.

use std::time::Duration;

use chicory_types::{MonoTime, SLOTS_PER_SERVICE, SlotRun};

use crate::ServerReport;

/// Time after which a recorded request counts half.
pub const HEAT_HALF_LIFE: Duration = Duration::from_secs(20);
/// Minimum load of each slot, in requests. It makes placement balance the number of slots where
/// there is no traffic.
const BASE_HEAT: f32 = 0.01;

/// Load of the slots of one service, as an exponentially decaying count of requests.
///
/// Dispatchers report the request counts of the hottest slots only. The remaining requests of a
/// server are spread evenly over its slots.
#[derive(Clone, Debug)]
pub struct HeatMap {
    slots: Vec<f32>,
    decayed_at: MonoTime,
}

impl Default for HeatMap {
    fn default() -> Self {
        Self {
            slots: vec![0.0; usize::from(SLOTS_PER_SERVICE)],
            decayed_at: MonoTime::ZERO,
        }
    }
}

impl HeatMap {
    /// Adds a dispatcher's report on a server that owns `runs`.
    pub fn on_report(&mut self, now: MonoTime, report: &ServerReport, runs: &[SlotRun]) {
        self.decay(now);
        let listed: u32 = report.hottest_slots.iter().map(|heat| heat.requests).sum();
        self.add_unlisted(runs, report.requests.saturating_sub(listed));
        for heat in &report.hottest_slots {
            if let Some(slot) = self.slots.get_mut(usize::from(heat.slot)) {
                *slot += to_load(heat.requests);
            }
        }
    }

    fn add_unlisted(&mut self, runs: &[SlotRun], requests: u32) {
        let count: usize = runs.iter().map(|run| run.slots().count()).sum();
        if count == 0 {
            return;
        }
        #[expect(clippy::cast_precision_loss, reason = "a share needs no exact count")]
        let share = to_load(requests) / count as f32;
        for slot in runs.iter().flat_map(|run| run.slots()) {
            self.slots[usize::from(slot)] += share;
        }
    }

    /// Returns the load of each slot, which is never zero.
    #[must_use]
    pub fn loads(&self) -> Vec<f32> {
        self.slots.iter().map(|load| load + BASE_HEAT).collect()
    }

    /// Decays the recorded load by the time since the last decay. Does nothing if that is less than
    /// a second ago.
    pub fn decay(&mut self, now: MonoTime) {
        let age = now.saturating_sub(self.decayed_at);
        if age < Duration::from_secs(1) {
            return;
        }
        self.decayed_at = now;
        let factor = 0.5_f32.powf(age.as_secs_f32() / HEAT_HALF_LIFE.as_secs_f32());
        for load in &mut self.slots {
            *load *= factor;
        }
    }
}

fn to_load(requests: u32) -> f32 {
    #[expect(clippy::cast_precision_loss, reason = "load needs no exact count")]
    let load = requests as f32;
    load
}
