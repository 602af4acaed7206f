//! Whether a request may go to a server now, later or not at all.
//!
//! Answers the load that exceeds what a server can do: a hot key, a burst, lost or slow servers.
//! A server that is full works as fast with a short queue as with a long one, but answers from a
//! long queue come too late to be of full value. So the entry VMs together send a server no more
//! than it can answer within the target, and refuse the rest at once.

use std::time::Duration;

/// Part of the target that is planned for; the rest is left to chance and to the network.
const TARGET_PART: f64 = 0.8;

/// Part of the target from which on recent times show that a server is congested. Below, a share of
/// a few places each would only keep entry VMs from using those of others.
const CONGESTED_PART: f64 = 0.7;

/// What becomes of a request that a server could serve.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// It goes to the server now.
    Send,
    /// It waits for another one to end; ask again by then.
    Wait(Duration),
    /// It would be answered too late.
    Refuse {
        /// When a place may be free.
        retry_after: Duration,
    },
}

/// What an entry VM knows of the load of one server.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ServerPressure {
    /// Requests of this entry VM that the server holds.
    pub in_flight: u32,
    /// Requests that wait here for the server.
    pub waiting: u32,
    /// Requests that the server works on at once.
    pub slots: u32,
    /// Time that the server takes for a request that need not wait.
    pub base: Duration,
    /// Time that recent requests took.
    pub latency: Duration,
    /// Number of entry VMs that send to the server.
    pub entry_count: u32,
}

impl ServerPressure {
    /// Requests that this entry VM may have at the server at once: an even share of what the
    /// server answers within the target, and at least one.
    #[must_use]
    pub fn limit(&self, target: Duration) -> u32 {
        let base_s = self.base.as_secs_f64().max(0.001);
        let rounds = (TARGET_PART * target.as_secs_f64() / base_s).max(1.0);
        let share = f64::from(self.slots) * rounds / f64::from(self.entry_count.max(1));
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "a positive number that saturates"
        )]
        let share = share.round() as u32;
        share.max(1)
    }

    /// Whether recent requests had to wait at the server for long.
    #[must_use]
    pub fn is_congested(&self, target: Duration) -> bool {
        self.latency > target.mul_f64(CONGESTED_PART)
    }

    /// Decides on a request that has waited for `waited` and is of full value within `target` of
    /// its arrival.
    #[must_use]
    pub fn admit(&self, waited: Duration, target: Duration) -> Admission {
        let limit = self.limit(target);
        if self.in_flight < limit || !self.is_congested(target) {
            return Admission::Send;
        }
        // One of those in flight ends soonest after an even part of their time.
        let turn = self.latency / (limit + 1);
        let wait = turn * (self.waiting + 1);
        let left = target.saturating_sub(waited + self.latency);
        if wait <= left {
            return Admission::Wait(left);
        }
        Admission::Refuse { retry_after: wait }
    }
}
