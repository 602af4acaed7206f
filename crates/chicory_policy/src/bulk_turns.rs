//! Turns of large bodies on one direction of a thin link.

use std::time::Duration;

/// Fraction of a link's rate that large bodies may use. The rest carries small messages, which
/// would otherwise wait behind the packets of large ones.
const BULK_FRACTION: f64 = 0.8;
/// Least rate of a link in bytes per second; it keeps times that follow from it finite.
const MIN_BYTES_PER_S: f64 = 1000.0;

/// What to do with a large body.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BulkStep {
    /// It waits for its turn, behind the bodies that were queued before.
    Queue,
    /// It can't be transferred in time. The bodies that are queued now take this long.
    TooLate {
        /// Time until the queue is empty.
        free_in: Duration,
    },
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
/// let time_left = Duration::from_secs(2);
/// assert_eq!(turns.queue(80_000, time_left), BulkStep::Queue);
/// assert_eq!(turns.queue(80_000, time_left), BulkStep::Queue);
/// let free_in = Duration::from_secs(2);
/// assert_eq!(turns.queue(80_000, time_left), BulkStep::TooLate { free_in });
/// turns.finish(80_000);
/// assert_eq!(turns.queue(80_000, time_left), BulkStep::Queue);
/// ```
#[derive(Clone, Debug)]
pub struct BulkTurns {
    /// Rate of large bodies in bytes per second.
    bytes_per_s: f64,
    queued_bytes: u64,
}

impl BulkTurns {
    /// Creates turns on a link with this rate in bytes per second.
    #[must_use]
    pub fn new(link_bytes_per_s: f64) -> Self {
        Self {
            bytes_per_s: link_bytes_per_s.max(MIN_BYTES_PER_S) * BULK_FRACTION,
            queued_bytes: 0,
        }
    }

    /// Queues a body, unless its transfer would last longer than `time_left`. A body on an idle link
    /// is always queued: no other caller has to wait for it.
    pub fn queue(&mut self, bytes: u64, time_left: Duration) -> BulkStep {
        let total = self.queued_bytes.saturating_add(bytes);
        if self.queued_bytes > 0 && self.transfer_time(total) > time_left {
            let free_in = self.transfer_time(self.queued_bytes);
            return BulkStep::TooLate { free_in };
        }
        self.queued_bytes = total;
        BulkStep::Queue
    }

    /// Records that a queued body was transferred or given up.
    pub fn finish(&mut self, bytes: u64) {
        self.queued_bytes = self.queued_bytes.saturating_sub(bytes);
    }

    /// Returns the time that the transfer of this many bytes takes.
    #[must_use]
    pub fn transfer_time(&self, bytes: u64) -> Duration {
        #[expect(clippy::cast_precision_loss, reason = "bodies are small")]
        let seconds = bytes as f64 / self.bytes_per_s;
        Duration::try_from_secs_f64(seconds).unwrap_or(Duration::MAX)
    }
}
