//! What an entry VM has observed of one backend server.

use std::time::Duration;

use chicory_types::MonoTime;

use super::AttemptOutcome;
use super::known_load::KnownLoad;

/// Weight of the latest sample in averages.
const SAMPLE_WEIGHT: f64 = 0.15;
/// Weight of a sample below the base. It is higher than that of a sample above, because waiting
/// only ever adds to a latency, so low samples show the base better.
const LOW_SAMPLE_WEIGHT: f64 = 0.2;
/// Weight of a sample above the base.
const HIGH_SAMPLE_WEIGHT: f64 = 0.01;
/// Ratio of latency to base at which about every slot has another request waiting.
const CONGESTED_FACTOR: f64 = 1.8;
/// Pause after the first failure that shows that a server can't be reached. Each further failure
/// doubles it.
const FIRST_PAUSE: Duration = Duration::from_millis(400);
/// Longest pause: a server that can be reached again is found within this time.
const MAX_PAUSE: Duration = Duration::from_secs(4);
/// Pause after a server rejected a request or a connection because it was full.
const SHED_PAUSE: Duration = Duration::from_millis(120);
/// Time after a broken connection in which new connections get a settle time before anything is
/// sent on them. A server that has too many connections has them for several seconds.
const CONNECTION_CHECK_TIME: Duration = Duration::from_secs(5);
/// Consecutive broken connections after which a server is paused.
const BREAKS_BEFORE_PAUSE: u32 = 2;

/// What an entry VM has observed of one incarnation of a backend server.
#[derive(Clone, Debug)]
pub(crate) struct ServerHealth {
    /// Whether another server has the address of this one, which shows that this one has ended.
    pub(crate) is_gone: bool,
    pub(crate) in_flight: u32,
    /// Time to an answer without waiting, as the lower envelope of the times to an answer
    /// or a timeout.
    base_s: Option<f64>,
    /// Average time to an answer or a timeout.
    latency_s: Option<f64>,
    /// Fraction of recent requests that failed.
    failure_rate: f64,
    consecutive_breaks: u32,
    next_pause: Duration,
    pub(crate) paused_until: MonoTime,
    /// Time until which new connections get a settle time before anything is sent on them.
    check_connections_until: MonoTime,
    /// Answers and timeouts since the previous report.
    pub(crate) answered: u32,
    /// Requests and connections since the previous report that the server rejected because
    /// it was full.
    pub(crate) shed: u32,
    /// Sum of the times to an answer or a timeout since the previous report.
    pub(crate) service_time: Duration,
    /// The load that the server stated last.
    pub(crate) load: Option<KnownLoad>,
}

impl Default for ServerHealth {
    fn default() -> Self {
        Self {
            is_gone: false,
            in_flight: 0,
            base_s: None,
            latency_s: None,
            failure_rate: 0.0,
            consecutive_breaks: 0,
            next_pause: FIRST_PAUSE,
            paused_until: MonoTime::ZERO,
            check_connections_until: MonoTime::ZERO,
            answered: 0,
            shed: 0,
            service_time: Duration::ZERO,
            load: None,
        }
    }
}

impl ServerHealth {
    pub(crate) fn is_paused(&self, now: MonoTime) -> bool {
        now < self.paused_until
    }

    /// Whether the server recently broke connections, as a server with too many connections does.
    pub(crate) fn needs_connection_check(&self, now: MonoTime) -> bool {
        now < self.check_connections_until
    }

    /// Returns the average time to an answer or a timeout, if there was one.
    pub(crate) fn latency(&self) -> Option<Duration> {
        self.latency_s.map(Duration::from_secs_f64)
    }

    /// Returns the fraction of recent requests that failed.
    pub(crate) fn failure_rate(&self) -> f64 {
        self.failure_rate
    }

    /// Whether requests have had to wait at the server. A server that sheds requests without any
    /// having to wait is not full.
    pub(crate) fn is_congested(&self) -> bool {
        match (self.base_s, self.latency_s) {
            (Some(base), Some(latency)) => latency > base * CONGESTED_FACTOR,
            _ => false,
        }
    }

    /// Returns the expected cost of one more request; less is better.
    pub(crate) fn cost(&self, slots: u32, typical_latency: Duration) -> f64 {
        let latency = self.latency_s.unwrap_or(typical_latency.as_secs_f64());
        let load = f64::from(self.in_flight + 1) / f64::from(slots.max(1));
        let failure = 1.0 + 6.0 * self.failure_rate;
        latency * (0.5 + load) * failure
    }

    pub(crate) fn record_outcome(
        &mut self,
        now: MonoTime,
        outcome: AttemptOutcome,
        took: Duration,
    ) {
        if matches!(
            outcome,
            AttemptOutcome::Broken | AttemptOutcome::ConnectionRejected
        ) {
            self.check_connections_until = now + CONNECTION_CHECK_TIME;
        }
        match outcome {
            AttemptOutcome::Answered => {
                self.record_latency(took);
                self.update_failure_rate(false);
                self.consecutive_breaks = 0;
                self.end_pause();
            }
            AttemptOutcome::Failed => self.update_failure_rate(true),
            AttemptOutcome::Shed | AttemptOutcome::ConnectionRejected => {
                self.shed += 1;
                self.update_failure_rate(true);
                self.paused_until = self.paused_until.max(now + SHED_PAUSE);
            }
            AttemptOutcome::Refused | AttemptOutcome::Unreachable => self.start_pause(now),
            AttemptOutcome::Silent => {
                self.record_latency(took);
                self.record_break(now);
            }
            AttemptOutcome::Broken | AttemptOutcome::Garbled => self.record_break(now),
            AttemptOutcome::OtherServer => self.is_gone = true,
            AttemptOutcome::WrongServer
            | AttemptOutcome::Withheld
            | AttemptOutcome::RelayUnavailable
            | AttemptOutcome::RefusedByRelay
            | AttemptOutcome::UnreachableFromRelay
            | AttemptOutcome::RelayBroken
            | AttemptOutcome::Cancelled => {}
        }
    }

    /// Records the outcome of an attempt that another entry VM relayed. Its duration does not count
    /// for the server's latency, and what failed may be the path by way of that entry VM.
    pub(crate) fn record_relayed_outcome(
        &mut self,
        now: MonoTime,
        outcome: AttemptOutcome,
        took: Duration,
    ) {
        match outcome {
            AttemptOutcome::Answered | AttemptOutcome::Silent => {
                self.answered += 1;
                self.service_time += took;
                self.update_failure_rate(outcome == AttemptOutcome::Silent);
            }
            AttemptOutcome::Failed
            | AttemptOutcome::Shed
            | AttemptOutcome::ConnectionRejected
            | AttemptOutcome::OtherServer => self.record_outcome(now, outcome, took),
            AttemptOutcome::Broken | AttemptOutcome::Garbled => self.update_failure_rate(true),
            AttemptOutcome::WrongServer
            | AttemptOutcome::Refused
            | AttemptOutcome::Unreachable
            | AttemptOutcome::Withheld
            | AttemptOutcome::RelayUnavailable
            | AttemptOutcome::RefusedByRelay
            | AttemptOutcome::UnreachableFromRelay
            | AttemptOutcome::RelayBroken
            | AttemptOutcome::Cancelled => {}
        }
    }

    fn record_latency(&mut self, took: Duration) {
        self.answered += 1;
        self.service_time += took;
        let sample = took.as_secs_f64();
        let base = self.base_s.unwrap_or(sample);
        let weight = if sample < base {
            LOW_SAMPLE_WEIGHT
        } else {
            HIGH_SAMPLE_WEIGHT
        };
        self.base_s = Some(base + weight * (sample - base));
        let average = self.latency_s.unwrap_or(sample);
        self.latency_s = Some(average + SAMPLE_WEIGHT * (sample - average));
    }

    fn update_failure_rate(&mut self, has_failed: bool) {
        let sample = f64::from(u8::from(has_failed));
        self.failure_rate += SAMPLE_WEIGHT * (sample - self.failure_rate);
    }

    fn record_break(&mut self, now: MonoTime) {
        self.update_failure_rate(true);
        self.consecutive_breaks += 1;
        if self.consecutive_breaks >= BREAKS_BEFORE_PAUSE {
            self.start_pause(now);
        }
    }

    /// Ends the pause: the server was not at fault.
    pub(crate) fn end_pause(&mut self) {
        self.next_pause = FIRST_PAUSE;
        self.paused_until = MonoTime::ZERO;
    }

    fn start_pause(&mut self, now: MonoTime) {
        self.paused_until = now + self.next_pause;
        self.next_pause = (self.next_pause * 2).min(MAX_PAUSE);
    }
}
