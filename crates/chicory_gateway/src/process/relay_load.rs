//! Limits what an entry VM relays for others.

use std::time::Duration;

use chicory_policy::LinkBacklog;
use chicory_types::MonoTime;

/// Most relayed requests in progress.
const MAX_IN_PROGRESS: usize = 256;
/// Most bytes of their bodies that are in memory, unless a longer body is allowed.
const MAX_BODY_BYTES: u64 = 32 * 1024 * 1024;
/// Delay of a timer from which the entry VM counts as overloaded: its own callers wait as long for
/// each step of their requests.
const MAX_TICK_LAG: Duration = Duration::from_millis(50);

/// Least size of a body that counts as large: it occupies a thin link for long.
const MIN_LARGE_BYTES: u64 = 16 * 1024;
/// Time for which the link may be occupied, by a large body as well, when it is accepted. The entry
/// VM's own callers wait as long, a relayed request several times: its heads, the opening of a
/// connection to the server and both ways of the answer cross the link.
const MAX_LARGE_DELAY: Duration = Duration::from_millis(100);
/// The same for other requests, which hardly add to it.
const MAX_SMALL_DELAY: Duration = Duration::from_millis(150);

/// The bodies of a request that is to be relayed, and of its answer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RelaySize {
    /// Length of the request's body in bytes.
    pub body_bytes: u64,
    /// Assumed length of the answer's body in bytes; 0 if it is small.
    pub answer_bytes: u64,
}

/// Whether a request may be relayed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RelayAdmission {
    /// It may; [`RelayLoad::end`] has to be called at its end.
    Accepted,
    /// Too many are in progress, or their bodies are too long.
    Full,
    /// The entry VM is overloaded by its own callers.
    Overloaded,
    /// The entry VM's link is occupied for too long.
    LinkFull,
}

/// What an entry VM relays for others at the moment.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RelayLoad {
    max_body_bytes: u64,
    in_progress: usize,
    body_bytes: u64,
    tick_lag: Duration,
}

impl Default for RelayLoad {
    fn default() -> Self {
        Self {
            max_body_bytes: MAX_BODY_BYTES,
            in_progress: 0,
            body_bytes: 0,
            tick_lag: Duration::ZERO,
        }
    }
}

impl RelayLoad {
    /// Raises the bytes of all bodies to the length of the longest one that may come.
    #[must_use]
    pub fn with_longest_body(mut self, bytes: u64) -> Self {
        self.max_body_bytes = self.max_body_bytes.max(bytes);
        self
    }

    /// Admits a request, or refuses it. `link` is what the entry VM's link still has to carry, if the
    /// link is thin.
    #[must_use]
    pub fn try_begin(
        &mut self,
        now: MonoTime,
        size: RelaySize,
        link: Option<&LinkBacklog>,
    ) -> RelayAdmission {
        if self.tick_lag > MAX_TICK_LAG {
            return RelayAdmission::Overloaded;
        }
        if link.is_some_and(|link| is_link_full(now, size, link)) {
            return RelayAdmission::LinkFull;
        }
        let all_body_bytes = self.body_bytes.saturating_add(size.body_bytes);
        if self.in_progress >= MAX_IN_PROGRESS || all_body_bytes > self.max_body_bytes {
            return RelayAdmission::Full;
        }
        self.in_progress += 1;
        self.body_bytes = all_body_bytes;
        RelayAdmission::Accepted
    }

    /// Records the end of a request that was admitted with this length.
    pub fn end(&mut self, body_bytes: u64) {
        self.in_progress = self.in_progress.saturating_sub(1);
        self.body_bytes = self.body_bytes.saturating_sub(body_bytes);
    }

    /// Records by how much the last tick of a timer was late.
    pub fn record_tick_lag(&mut self, lag: Duration) {
        self.tick_lag = lag;
    }
}

/// Whether a thin link is occupied for too long to carry the bodies of one more request as well. An
/// idle link takes each one.
fn is_link_full(now: MonoTime, size: RelaySize, link: &LinkBacklog) -> bool {
    if link.delay(now).is_zero() {
        return false;
    }
    let bytes = size.body_bytes.saturating_add(size.answer_bytes);
    if bytes >= MIN_LARGE_BYTES {
        link.delay_with(now, bytes) > MAX_LARGE_DELAY
    } else {
        link.delay(now) > MAX_SMALL_DELAY
    }
}
