//! Speeds of backend servers, estimated from the reports of entry VMs.

use std::collections::BTreeMap;
use std::time::Duration;

use chicory_directory::ServerLoad;
use chicory_ranges::ServerIncarnation;

/// Weight of a sample below the estimate. Waiting can only increase a sample, so low samples are
/// closer to the speed of the server.
const LOW_SAMPLE_WEIGHT: f64 = 0.25;
/// Weight of a sample above the estimate.
const HIGH_SAMPLE_WEIGHT: f64 = 0.03;
/// Bounds of a speed relative to the median: they limit the effect of estimates that rest on a few
/// unusual samples.
const SPEED_BOUNDS: (f64, f64) = (0.5, 1.8);

/// Weight of the latest report in the ratio of requests that a server sheds.
const SHED_SAMPLE_WEIGHT: f64 = 0.1;
/// Part of its capacity that a server loses in plans when it sheds all requests. Some capacity is
/// left, so that its recovery can be observed.
const SHED_DISCOUNT: f64 = 0.6;

/// The time that each server takes for a request that does not wait, estimated as the lower
/// envelope of the reported times.
#[derive(Clone, Debug, Default)]
pub(crate) struct ServerSpeeds {
    request_seconds: BTreeMap<ServerIncarnation, f64>,
    /// Ratio of recent requests that each server shed.
    shed_ratios: BTreeMap<ServerIncarnation, f64>,
}

impl ServerSpeeds {
    pub(crate) fn record(&mut self, load: &ServerLoad) {
        self.record_shed(load);
        if load.answered == 0 || load.service_time == Duration::ZERO {
            return;
        }
        let sample = load.service_time.as_secs_f64() / f64::from(load.answered);
        let estimate = self
            .request_seconds
            .entry(load.incarnation.clone())
            .or_insert(sample);
        let weight = if sample < *estimate {
            LOW_SAMPLE_WEIGHT
        } else {
            HIGH_SAMPLE_WEIGHT
        };
        *estimate += weight * (sample - *estimate);
    }

    fn record_shed(&mut self, load: &ServerLoad) {
        let received = load.answered + load.shed;
        if received == 0 {
            return;
        }
        let sample = f64::from(load.shed) / f64::from(received);
        let ratio = self
            .shed_ratios
            .entry(load.incarnation.clone())
            .or_default();
        *ratio += SHED_SAMPLE_WEIGHT * (sample - *ratio);
    }

    /// Returns the speed of each server relative to the median of these servers, and 1 for unknown
    /// ones; servers that shed requests get less.
    pub(crate) fn relative(&self, incarnations: &[ServerIncarnation]) -> Vec<f64> {
        let median = self.median_request_seconds(incarnations);
        let speeds = incarnations.iter().map(|incarnation| {
            let speed = match (median, self.request_seconds.get(incarnation)) {
                (Some(median), Some(own)) => (median / own).clamp(SPEED_BOUNDS.0, SPEED_BOUNDS.1),
                _ => 1.0,
            };
            let shed_ratio = self.shed_ratios.get(incarnation).copied().unwrap_or(0.0);
            speed * (1.0 - SHED_DISCOUNT * shed_ratio)
        });
        speeds.collect()
    }

    /// Returns the median of the times that these servers take for a request that does not wait.
    pub(crate) fn median_request_time(
        &self,
        incarnations: &[ServerIncarnation],
    ) -> Option<Duration> {
        let median = self.median_request_seconds(incarnations)?;
        Duration::try_from_secs_f64(median).ok()
    }

    fn median_request_seconds(&self, incarnations: &[ServerIncarnation]) -> Option<f64> {
        let mut known: Vec<f64> = incarnations
            .iter()
            .filter_map(|incarnation| self.request_seconds.get(incarnation).copied())
            .collect();
        known.sort_by(f64::total_cmp);
        known.get(known.len() / 2).copied()
    }

    pub(crate) fn retain(&mut self, is_known: impl Fn(&ServerIncarnation) -> bool) {
        self.request_seconds
            .retain(|incarnation, _| is_known(incarnation));
        self.shed_ratios
            .retain(|incarnation, _| is_known(incarnation));
    }
}
