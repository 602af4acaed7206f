//! The part of one service's slots that an entry VM prefers.

use std::collections::BTreeMap;
use std::time::Duration;

use chicory_directory::ServerShare;
use chicory_ranges::ServerIncarnation;

/// Weight of the latest answer in averages over all servers of a service.
const SAMPLE_WEIGHT: f64 = 0.02;
/// Share of full servers that is assumed before any has stated its load.
const FIRST_FULL_SHARE: f64 = 0.3;
/// Time of a request that is assumed before the first answer.
const FIRST_REQUEST_S: f64 = 0.2;

/// The part of one service's slots that an entry VM prefers, and averages over the servers.
#[derive(Clone, Debug)]
pub(crate) struct ServicePart {
    /// Slots of this entry VM, and the speed, of each server that the leader named.
    servers: BTreeMap<ServerIncarnation, (f64, f64)>,
    /// Share of recent answers that stated that their server was full.
    pub(crate) full_share: f64,
    request_s: Option<f64>,
}

impl Default for ServicePart {
    fn default() -> Self {
        Self {
            servers: BTreeMap::new(),
            full_share: FIRST_FULL_SHARE,
            request_s: None,
        }
    }
}

impl ServicePart {
    pub(crate) fn replace(&mut self, shares: Vec<ServerShare>) {
        let servers = shares.into_iter();
        self.servers = servers
            .map(|share| (share.incarnation, (share.slots, share.speed)))
            .collect();
    }

    /// Returns the slots of this entry VM at a server, and the server's relative speed.
    pub(crate) fn slots_and_speed(&self, incarnation: &ServerIncarnation) -> (f64, f64) {
        self.servers.get(incarnation).copied().unwrap_or((0.0, 1.0))
    }

    /// Returns the average time of a request.
    pub(crate) fn request_time(&self) -> Duration {
        Duration::from_secs_f64(self.request_s.unwrap_or(FIRST_REQUEST_S))
    }

    pub(crate) fn record_answer(&mut self, took: Duration) {
        let took_s = took.as_secs_f64();
        let average_s = self.request_s.get_or_insert(took_s);
        *average_s += SAMPLE_WEIGHT * (took_s - *average_s);
    }

    pub(crate) fn record_load(&mut self, is_full: bool) {
        let sample = f64::from(u8::from(is_full));
        self.full_share += SAMPLE_WEIGHT * (sample - self.full_share);
    }
}
