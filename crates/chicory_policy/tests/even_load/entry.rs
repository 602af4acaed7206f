//! A simulated entry VM.

use std::collections::VecDeque;
use std::time::Duration;

use chicory_policy::Occupancy;

use crate::backend::Backend;

const LATENCY_WEIGHT: f64 = 0.15;
const PAUSE_AFTER_REJECTION_S: f64 = 0.12;
const SERVICE_WEIGHT: f64 = 0.02;
const FIRST_FULL_SHARE: f64 = 0.3;

/// What an entry VM knows of one server.
#[derive(Clone, Debug)]
pub struct KnownServer {
    pub own_slots: f64,
    pub in_flight: u32,
    pub occupancy: Option<Occupancy>,
    pub latency_s: Option<f64>,
    pub failure_rate: f64,
    pub paused_until_s: f64,
    /// Speed as the leader estimates it.
    pub speed: f64,
}

/// A simulated entry VM.
pub struct Entry {
    pub zone: usize,
    pub servers: Vec<KnownServer>,
    /// Requests that wait for an own slot.
    pub held: VecDeque<usize>,
    /// Requests of callers since the last plan.
    pub demand: f64,
    /// Share of answers whose server was full.
    pub full_share: f64,
    pub typical_s: Option<f64>,
}

impl Entry {
    pub fn new(zone: usize, speeds: &[f64]) -> Self {
        let servers = speeds.iter().map(|speed| KnownServer {
            own_slots: 0.0,
            in_flight: 0,
            occupancy: None,
            latency_s: None,
            failure_rate: 0.0,
            paused_until_s: 0.0,
            speed: *speed,
        });
        Self {
            zone,
            servers: servers.collect(),
            held: VecDeque::new(),
            demand: 0.0,
            full_share: FIRST_FULL_SHARE,
            typical_s: None,
        }
    }

    pub fn typical(&self) -> Duration {
        Duration::from_secs_f64(self.typical_s.unwrap_or(0.2))
    }

    /// Records an answer with the number of requests that ran or waited at its server.
    pub fn record(
        &mut self,
        now_s: f64,
        took_s: f64,
        total: u32,
        backend: &Backend,
        index: usize,
        is_rejected: bool,
    ) {
        let server = &mut self.servers[index];
        server.in_flight -= 1;
        let now = Duration::from_secs_f64(now_s);
        server.occupancy = Some(Occupancy::new(now, total, server.in_flight));
        let is_full = f64::from(u8::from(total >= backend.slots));
        self.full_share += SERVICE_WEIGHT * (is_full - self.full_share);
        let failure = f64::from(u8::from(is_rejected));
        server.failure_rate += LATENCY_WEIGHT * (failure - server.failure_rate);
        if is_rejected {
            server.paused_until_s = now_s + PAUSE_AFTER_REJECTION_S;
            return;
        }
        server.paused_until_s = 0.0;
        let average = server.latency_s.get_or_insert(took_s);
        *average += LATENCY_WEIGHT * (took_s - *average);
        let typical = self.typical_s.get_or_insert(took_s);
        *typical += SERVICE_WEIGHT * (took_s - *typical);
    }
}
