//! The demand of one entry VM for services without keys.

use std::collections::BTreeMap;

use chicory_directory::ServiceShares;
use chicory_types::{MonoTime, ServiceName, VmId};

/// Weight of the latest interval in the average rate of requests. A part that follows every chance
/// variation of demand moves all parts after it.
const SAMPLE_WEIGHT: f64 = 0.2;

/// The demand of one entry VM for services without keys, and the shares that were sent to it.
#[derive(Clone, Debug)]
pub(super) struct EntryDemand {
    pub(super) vm: VmId,
    /// Processor cores that the entry VM may use, if it states them.
    pub(super) cpu_share: Option<f64>,
    /// Whether the entry VM understands shares.
    pub(super) accepts_shares: bool,
    pub(super) sent: Vec<ServiceShares>,
    /// When the next shares may be sent.
    pub(super) send_at: MonoTime,
    counts: BTreeMap<ServiceName, u32>,
    rates: BTreeMap<ServiceName, f64>,
    updated_at: Option<MonoTime>,
}

impl EntryDemand {
    pub(super) fn new(vm: VmId, cpu_share: Option<f64>) -> Self {
        Self {
            vm,
            cpu_share,
            accepts_shares: false,
            sent: Vec::new(),
            send_at: MonoTime::ZERO,
            counts: BTreeMap::new(),
            rates: BTreeMap::new(),
            updated_at: None,
        }
    }

    /// Adds requests since the previous report.
    pub(super) fn add(&mut self, service: ServiceName, count: u32) {
        let known = self.counts.entry(service).or_default();
        *known = known.saturating_add(count);
    }

    /// Adds what was counted since the previous call to the average rates.
    pub(super) fn update(&mut self, now: MonoTime) {
        let counts = std::mem::take(&mut self.counts);
        let Some(updated_at) = self.updated_at.replace(now) else {
            return;
        };
        let elapsed_s = now.saturating_sub(updated_at).as_secs_f64();
        if elapsed_s <= 0.0 {
            return;
        }
        for (service, rate) in &mut self.rates {
            let count = counts.get(service).copied().unwrap_or_default();
            *rate += SAMPLE_WEIGHT * (f64::from(count) / elapsed_s - *rate);
        }
        for (service, count) in counts {
            let rate = f64::from(count) / elapsed_s;
            self.rates.entry(service).or_insert(rate);
        }
    }

    /// Returns the average number of requests per second for a service.
    pub(super) fn rate_per_s(&self, service: &str) -> f64 {
        self.rates.get(service).copied().unwrap_or_default()
    }

    /// Forgets the demand and what was sent.
    pub(super) fn forget(&mut self) {
        self.counts.clear();
        self.rates.clear();
        self.updated_at = None;
        self.sent.clear();
    }
}
