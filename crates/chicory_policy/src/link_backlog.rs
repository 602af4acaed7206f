//! How long the answers that are being passed on occupy a thin link.

use std::time::Duration;

use chicory_types::MonoTime;

/// Least rate of a link in bytes per second; it keeps times that follow from it finite.
const MIN_BYTES_PER_S: f64 = 1000.0;

/// Bytes of answers that a thin link still has to carry: those that are expected, and those that
/// were handed to it faster than it carries them.
///
/// The load that it answers: entry VMs that pass on answers for each other beside those for their
/// own callers. How long a further answer would wait shows before the link is full, while the
/// time that connections take to open shows it only afterwards.
///
/// # Examples
///
/// ```
/// use chicory_policy::LinkBacklog;
/// use std::time::Duration;
///
/// // A link of 100 KB/s.
/// let mut backlog = LinkBacklog::new(100_000.0);
/// let now = Duration::from_secs(1);
/// backlog.expect(20_000);
/// assert_eq!(backlog.delay(now), Duration::from_millis(200));
/// backlog.forget(20_000);
/// backlog.record_sent(now, 20_000);
/// assert_eq!(backlog.delay(now), Duration::from_millis(200));
/// assert_eq!(backlog.delay(now + Duration::from_millis(150)), Duration::from_millis(50));
/// ```
#[derive(Clone, Debug)]
pub struct LinkBacklog {
    bytes_per_s: f64,
    expected_bytes: u64,
    /// Bytes that wait in the link's queue, as of `updated_at`.
    queued_bytes: f64,
    updated_at: MonoTime,
}

impl LinkBacklog {
    /// Creates an empty backlog of a link with this rate in bytes per second.
    #[must_use]
    pub fn new(link_bytes_per_s: f64) -> Self {
        Self {
            bytes_per_s: link_bytes_per_s.max(MIN_BYTES_PER_S),
            expected_bytes: 0,
            queued_bytes: 0.0,
            updated_at: MonoTime::ZERO,
        }
    }

    /// Expects bytes that the link will carry.
    pub fn expect(&mut self, bytes: u64) {
        self.expected_bytes = self.expected_bytes.saturating_add(bytes);
    }

    /// No longer expects bytes, as they were sent or will not be.
    pub fn forget(&mut self, bytes: u64) {
        self.expected_bytes = self.expected_bytes.saturating_sub(bytes);
    }

    /// Records that bytes were handed to the link.
    pub fn record_sent(&mut self, now: MonoTime, bytes: u64) {
        self.queued_bytes = self.queued_bytes(now) + as_f64(bytes);
        self.updated_at = now;
    }

    /// Returns the bytes that the link still has to carry.
    #[must_use]
    pub fn pending_bytes(&self, now: MonoTime) -> f64 {
        as_f64(self.expected_bytes) + self.queued_bytes(now)
    }

    /// Returns the time until the link has carried everything.
    #[must_use]
    pub fn delay(&self, now: MonoTime) -> Duration {
        self.delay_with(now, 0)
    }

    /// Returns the time until the link would have carried everything and this many bytes more.
    #[must_use]
    pub fn delay_with(&self, now: MonoTime, bytes: u64) -> Duration {
        let seconds = (self.pending_bytes(now) + as_f64(bytes)) / self.bytes_per_s;
        Duration::try_from_secs_f64(seconds).unwrap_or(Duration::MAX)
    }

    fn queued_bytes(&self, now: MonoTime) -> f64 {
        let passed = now.saturating_sub(self.updated_at);
        (self.queued_bytes - passed.as_secs_f64() * self.bytes_per_s).max(0.0)
    }
}

#[expect(clippy::cast_precision_loss, reason = "answers are small")]
fn as_f64(bytes: u64) -> f64 {
    bytes as f64
}
