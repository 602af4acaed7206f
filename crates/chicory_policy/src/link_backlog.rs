//! How long the answers that are being passed on occupy a thin link.

use std::time::Duration;

/// Least rate of a link in bytes per second; it keeps times that follow from it finite.
const MIN_BYTES_PER_S: f64 = 1000.0;

/// Bytes of answers that a thin link still has to carry.
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
/// backlog.add(20_000);
/// assert_eq!(backlog.delay(), Duration::from_millis(200));
/// assert_eq!(backlog.delay_with(5_000), Duration::from_millis(250));
/// backlog.remove(20_000);
/// assert_eq!(backlog.delay(), Duration::ZERO);
/// ```
#[derive(Clone, Debug)]
pub struct LinkBacklog {
    bytes_per_s: f64,
    pending_bytes: u64,
}

impl LinkBacklog {
    /// Creates an empty backlog of a link with this rate in bytes per second.
    #[must_use]
    pub fn new(link_bytes_per_s: f64) -> Self {
        Self {
            bytes_per_s: link_bytes_per_s.max(MIN_BYTES_PER_S),
            pending_bytes: 0,
        }
    }

    /// Adds bytes that the link will carry.
    pub fn add(&mut self, bytes: u64) {
        self.pending_bytes = self.pending_bytes.saturating_add(bytes);
    }

    /// Removes bytes that the link has carried or will not carry.
    pub fn remove(&mut self, bytes: u64) {
        self.pending_bytes = self.pending_bytes.saturating_sub(bytes);
    }

    /// Returns the bytes that the link still has to carry.
    #[must_use]
    pub fn pending_bytes(&self) -> u64 {
        self.pending_bytes
    }

    /// Returns the time until the link has carried everything.
    #[must_use]
    pub fn delay(&self) -> Duration {
        self.delay_with(0)
    }

    /// Returns the time until the link would have carried everything and this many bytes more.
    #[must_use]
    pub fn delay_with(&self, bytes: u64) -> Duration {
        #[expect(clippy::cast_precision_loss, reason = "answers are small")]
        let seconds = self.pending_bytes.saturating_add(bytes) as f64 / self.bytes_per_s;
        Duration::try_from_secs_f64(seconds).unwrap_or(Duration::MAX)
    }
}
