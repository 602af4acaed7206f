//! How fast backend servers work, from what entry VMs report.

use std::collections::BTreeMap;
use std::time::Duration;

use chicory_directory::ServerLoad;
use chicory_ranges::ServerLife;

/// Weight of a sample below the estimate: waiting only ever adds, so low samples tell more.
const LOW_SAMPLE_WEIGHT: f64 = 0.25;
/// Weight of a sample above the estimate.
const HIGH_SAMPLE_WEIGHT: f64 = 0.03;
/// Bounds of a speed relative to the typical one, against estimates from a few odd samples.
const SPEED_BOUNDS: (f64, f64) = (0.5, 1.8);

/// The time that each server takes for a request that need not wait, as the lower envelope of
/// reported times.
#[derive(Clone, Debug, Default)]
pub(crate) struct ServerSpeeds {
    seconds: BTreeMap<ServerLife, f64>,
}

impl ServerSpeeds {
    pub(crate) fn note(&mut self, load: &ServerLoad) {
        if load.answered == 0 || load.service_time == Duration::ZERO {
            return;
        }
        let sample = load.service_time.as_secs_f64() / f64::from(load.answered);
        let estimate = self.seconds.entry(load.life.clone()).or_insert(sample);
        let weight = if sample < *estimate {
            LOW_SAMPLE_WEIGHT
        } else {
            HIGH_SAMPLE_WEIGHT
        };
        *estimate += weight * (sample - *estimate);
    }

    /// Speed of each server relative to the median of these servers; 1 for unknown ones.
    pub(crate) fn relative(&self, lives: &[ServerLife]) -> Vec<f64> {
        let mut known: Vec<f64> = lives
            .iter()
            .filter_map(|life| self.seconds.get(life).copied())
            .collect();
        known.sort_by(f64::total_cmp);
        let median = known.get(known.len() / 2).copied();
        let speeds = lives
            .iter()
            .map(|life| match (median, self.seconds.get(life)) {
                (Some(median), Some(own)) => (median / own).clamp(SPEED_BOUNDS.0, SPEED_BOUNDS.1),
                _ => 1.0,
            });
        speeds.collect()
    }

    pub(crate) fn retain(&mut self, is_known: impl Fn(&ServerLife) -> bool) {
        self.seconds.retain(|life, _| is_known(life));
    }
}
