//! Callers whose requests arrive at random times.

use std::time::Duration;

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

/// How many requests callers send, and how they are divided among entry VMs.
#[derive(Clone, Copy, Debug)]
pub struct Callers {
    pub requests_per_s: f64,
    /// Fraction of the requests that arrive at the first entry VM; the others are divided evenly.
    pub first_vm_fraction: f64,
}

impl Callers {
    pub fn even(requests_per_s: f64) -> Self {
        Self {
            requests_per_s,
            first_vm_fraction: 0.0,
        }
    }

    pub fn uneven(requests_per_s: f64) -> Self {
        Self {
            requests_per_s,
            first_vm_fraction: 0.7,
        }
    }
}

/// Draws the arrivals of requests.
pub struct Arrivals {
    callers: Callers,
    rng: StdRng,
    next_at: Duration,
}

impl Arrivals {
    pub fn new(callers: Callers, from: Duration, seed: u64) -> Self {
        Self {
            callers,
            rng: StdRng::seed_from_u64(seed),
            next_at: from,
        }
    }

    /// Returns the index of the entry VM at which the next request that is due arrives, and its key.
    pub fn next(&mut self, now: Duration, entry_count: usize) -> Option<(usize, u16)> {
        if self.next_at > now {
            return None;
        }
        let gap = -self.rng.random_range(f64::EPSILON..1.0).ln() / self.callers.requests_per_s;
        self.next_at += Duration::from_secs_f64(gap);
        let is_at_first = self.rng.random_bool(self.callers.first_vm_fraction);
        let entry_vm = if is_at_first {
            0
        } else {
            self.rng.random_range(0..entry_count)
        };
        Some((entry_vm, self.rng.random()))
    }
}
