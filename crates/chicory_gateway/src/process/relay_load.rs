//! Limits what an entry VM relays for others.

use std::time::Duration;

/// Most relayed requests in progress.
const MAX_IN_PROGRESS: usize = 256;
/// Most bytes of their bodies that are in memory.
const MAX_BODY_BYTES: u64 = 32 * 1024 * 1024;
/// Delay of a timer from which the entry VM counts as overloaded: its own callers wait as long for
/// each step of their requests.
const MAX_TICK_LAG: Duration = Duration::from_millis(50);

/// Whether a request may be relayed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RelayAdmission {
    /// It may; [`RelayLoad::end`] has to be called at its end.
    Accepted,
    /// Too many are in progress, or their bodies are too long.
    Full,
    /// The entry VM is overloaded by its own callers.
    Overloaded,
}

/// What an entry VM relays for others at the moment.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RelayLoad {
    in_progress: usize,
    body_bytes: u64,
    tick_lag: Duration,
}

impl RelayLoad {
    /// Admits a request with a body of this length, or refuses it.
    #[must_use]
    pub fn try_begin(&mut self, body_bytes: u64) -> RelayAdmission {
        if self.tick_lag > MAX_TICK_LAG {
            return RelayAdmission::Overloaded;
        }
        let all_body_bytes = self.body_bytes.saturating_add(body_bytes);
        if self.in_progress >= MAX_IN_PROGRESS || all_body_bytes > MAX_BODY_BYTES {
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
