//! Turns of large bodies on one direction of a thin link.

use std::time::Duration;

use chicory_types::MonoTime;

/// Fraction of a link's rate that large bodies may use. The rest carries small messages, which
/// would otherwise wait behind the packets of large ones.
const BULK_FRACTION: f64 = 0.8;

/// What to do with a large body.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BulkStep {
    /// Its turn begins then, and its bytes may follow at [`BulkTurns::transfer_time`].
    BeginAt(MonoTime),
    /// It can't be transferred in time. A body of this size could begin after this time.
    TooLate(Duration),
}

/// Turns of large bodies on one direction of a thin link.
///
/// The load that it answers: large bodies of many callers at once on a link on which each takes a
/// noticeable part of a second. If all are transferred at the same time, every small message waits
/// behind all of them, reports and renewals included, and each body takes as long as all together.
/// Here one follows the other, each at a fraction of the link's rate.
///
/// # Examples
///
/// ```
/// use chicory_policy::{BulkStep, BulkTurns};
/// use std::time::Duration;
///
/// // A link of 100 KB/s.
/// let mut turns = BulkTurns::new(100_000.0);
/// let now = Duration::from_secs(5);
/// let deadline = Duration::from_secs(7);
/// assert_eq!(turns.reserve(now, 80_000, deadline), BulkStep::BeginAt(now));
/// let next = now + Duration::from_secs(1);
/// assert_eq!(turns.reserve(now, 80_000, deadline), BulkStep::BeginAt(next));
/// assert!(matches!(turns.reserve(now, 80_000, deadline), BulkStep::TooLate(_)));
/// ```
#[derive(Clone, Debug)]
pub struct BulkTurns {
    /// Rate of large bodies in bytes per second.
    bytes_per_s: f64,
    /// End of the last turn that is reserved.
    free_at: MonoTime,
}

impl BulkTurns {
    /// Creates turns on a link with this rate in bytes per second, which has to be positive.
    #[must_use]
    pub fn new(link_bytes_per_s: f64) -> Self {
        Self {
            bytes_per_s: link_bytes_per_s * BULK_FRACTION,
            free_at: MonoTime::ZERO,
        }
    }

    /// Reserves the next turn for a body, unless it would end after `deadline`.
    pub fn reserve(&mut self, now: MonoTime, bytes: u64, deadline: MonoTime) -> BulkStep {
        let begin_at = self.free_at.max(now);
        let end_at = begin_at + self.transfer_time(bytes);
        if end_at > deadline {
            return BulkStep::TooLate(begin_at.saturating_sub(now));
        }
        self.free_at = end_at;
        BulkStep::BeginAt(begin_at)
    }

    /// Returns the time that the transfer of this many bytes takes.
    #[must_use]
    pub fn transfer_time(&self, bytes: u64) -> Duration {
        #[expect(clippy::cast_precision_loss, reason = "bodies are small")]
        let seconds = bytes as f64 / self.bytes_per_s;
        Duration::try_from_secs_f64(seconds).unwrap_or(Duration::MAX)
    }
}
