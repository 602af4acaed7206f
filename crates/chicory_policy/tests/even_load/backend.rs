//! A simulated backend server.

use std::collections::VecDeque;

use crate::random::Random;

/// Number of requests that wait at a server; it rejects any more.
const QUEUE_LIMIT: usize = 12;
/// Length of a slow phase in seconds.
const SLOW_S: f64 = 0.4;
/// Factor on the time of work in a slow phase.
const SLOW_FACTOR: f64 = 3.0;

/// A simulated backend server.
pub struct Backend {
    pub zone: usize,
    pub slots: u32,
    pub speed: f64,
    pub running: u32,
    /// Requests that wait, with their work in seconds at speed 1.
    pub queue: VecDeque<(usize, f64)>,
    /// Starts of the slow phases in seconds.
    slow_from_s: Vec<f64>,
}

impl Backend {
    pub fn new(
        zone: usize,
        slots: u32,
        speed: f64,
        slow_share: f64,
        until_s: f64,
        random: &mut Random,
    ) -> Self {
        let mut slow_from_s = Vec::new();
        if slow_share > 0.0 {
            let calm_s = SLOW_S * (1.0 - slow_share) / slow_share;
            let mut at_s = random.exponential(calm_s);
            while at_s < until_s {
                slow_from_s.push(at_s);
                at_s += SLOW_S + random.exponential(calm_s);
            }
        }
        Self {
            zone,
            slots,
            speed,
            running: 0,
            queue: VecDeque::new(),
            slow_from_s,
        }
    }

    /// Work per second of one slot, averaged over slow phases.
    pub fn mean_speed(&self, slow_share: f64) -> f64 {
        self.speed * (1.0 - slow_share + slow_share / SLOW_FACTOR)
    }

    /// Requests that run or wait.
    pub fn total(&self) -> u32 {
        let waiting = u32::try_from(self.queue.len()).expect("a short queue");
        self.running + waiting
    }

    pub fn is_full(&self) -> bool {
        self.running >= self.slots
    }

    pub fn is_rejecting(&self) -> bool {
        self.is_full() && self.queue.len() >= QUEUE_LIMIT
    }

    /// Returns when work that starts now ends.
    pub fn end_of(&self, now_s: f64, work_s: f64) -> f64 {
        let mut left_s = work_s / self.speed;
        let mut at_s = now_s;
        let first = self
            .slow_from_s
            .partition_point(|start| start + SLOW_S <= now_s);
        for &start in &self.slow_from_s[first..] {
            if start > at_s {
                if at_s + left_s <= start {
                    return at_s + left_s;
                }
                left_s -= start - at_s;
                at_s = start;
            }
            let slow_left_s = start + SLOW_S - at_s;
            if left_s * SLOW_FACTOR <= slow_left_s {
                return at_s + left_s * SLOW_FACTOR;
            }
            left_s -= slow_left_s / SLOW_FACTOR;
            at_s = start + SLOW_S;
        }
        at_s + left_s
    }
}
