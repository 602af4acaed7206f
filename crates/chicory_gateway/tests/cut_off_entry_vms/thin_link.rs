//! The link of an entry VM in virtual time.

use std::time::Duration;

/// A link that carries bytes in the order in which they come. What an entry VM receives it passes
/// on, so one queue stands for both directions.
#[derive(Clone, Copy, Debug)]
pub struct ThinLink {
    bytes_per_s: f64,
    busy_until: Duration,
}

impl ThinLink {
    pub fn new(bytes_per_s: f64) -> Self {
        Self {
            bytes_per_s,
            busy_until: Duration::ZERO,
        }
    }

    /// Returns for how long what is sent now waits behind other bytes.
    pub fn delay(&self, now: Duration) -> Duration {
        self.busy_until.saturating_sub(now)
    }

    pub fn bytes_per_s(&self) -> f64 {
        self.bytes_per_s
    }

    /// Returns the bytes that wait to cross the link.
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "bytes are few"
    )]
    pub fn pending_bytes(&self, now: Duration) -> u64 {
        (self.delay(now).as_secs_f64() * self.bytes_per_s) as u64
    }

    /// Queues bytes and returns when the last one has crossed the link.
    pub fn transfer(&mut self, now: Duration, bytes: u64) -> Duration {
        let bytes = f64::from(u32::try_from(bytes).expect("a small number"));
        let took = Duration::from_secs_f64(bytes / self.bytes_per_s);
        self.busy_until = self.busy_until.max(now) + took;
        self.busy_until
    }
}
