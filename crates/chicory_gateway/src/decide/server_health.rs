//! What an entry VM has seen of one backend server.

use std::time::Duration;

use chicory_types::MonoTime;

use super::AttemptOutcome;

/// Weight of the latest sample in averages.
const SAMPLE_WEIGHT: f64 = 0.15;
/// Weight of a sample below the base: waiting only ever adds, so low samples tell more.
const LOW_SAMPLE_WEIGHT: f64 = 0.2;
/// Weight of a sample above the base.
const HIGH_SAMPLE_WEIGHT: f64 = 0.01;
/// Factor by which a time exceeds the base when about every slot has another request waiting.
const CONGESTED_FACTOR: f64 = 1.8;
/// Pause after the first failure that shows a server to be away; it doubles with each further one.
const FIRST_PAUSE: Duration = Duration::from_millis(400);
/// Longest pause: a server that comes back is found within this time.
const MAX_PAUSE: Duration = Duration::from_secs(4);
/// Pause after a server turned a request away because it was full.
const SHED_PAUSE: Duration = Duration::from_millis(120);
/// Time after a break in which new connections are watched: a spell of too many connections lasts
/// for seconds.
const WARY_TIME: Duration = Duration::from_secs(5);
/// Connections in a row that have to break before a server is paused.
const BREAKS_TO_PAUSE: u32 = 2;

/// What an entry VM has seen of one life of a backend server.
#[derive(Clone, Debug)]
pub(crate) struct ServerHealth {
    /// Another server has its address: it has ended.
    pub(crate) is_gone: bool,
    pub(crate) in_flight: u32,
    /// Time to an answer that need not wait, as the lower envelope of all times.
    base_s: Option<f64>,
    /// Average time to an answer.
    latency_s: Option<f64>,
    /// Part of recent requests that failed.
    failure_rate: f64,
    breaks_in_a_row: u32,
    pause: Duration,
    pub(crate) paused_until: MonoTime,
    /// Until then new connections are watched before anything is sent on them.
    wary_until: MonoTime,
    pub(crate) answered: u32,
    pub(crate) shed: u32,
    pub(crate) service_time: Duration,
}

impl Default for ServerHealth {
    fn default() -> Self {
        Self {
            is_gone: false,
            in_flight: 0,
            base_s: None,
            latency_s: None,
            failure_rate: 0.0,
            breaks_in_a_row: 0,
            pause: FIRST_PAUSE,
            paused_until: MonoTime::ZERO,
            wary_until: MonoTime::ZERO,
            answered: 0,
            shed: 0,
            service_time: Duration::ZERO,
        }
    }
}

impl ServerHealth {
    pub(crate) fn is_paused(&self, now: MonoTime) -> bool {
        now < self.paused_until
    }

    /// Whether the server lately broke connections, as one does that has too many.
    pub(crate) fn is_wary(&self, now: MonoTime) -> bool {
        now < self.wary_until
    }

    /// Average time to an answer, if there was one.
    pub(crate) fn latency(&self) -> Option<Duration> {
        self.latency_s.map(Duration::from_secs_f64)
    }

    /// Whether requests have had to wait at the server; one that turns requests away without is not
    /// full.
    pub(crate) fn is_congested(&self) -> bool {
        match (self.base_s, self.latency_s) {
            (Some(base), Some(latency)) => latency > base * CONGESTED_FACTOR,
            _ => false,
        }
    }

    /// Expected cost of one more request: less is better.
    pub(crate) fn cost(&self, slots: u32, typical_latency: Duration) -> f64 {
        let latency = self.latency_s.unwrap_or(typical_latency.as_secs_f64());
        let load = f64::from(self.in_flight + 1) / f64::from(slots.max(1));
        let failure = 1.0 + 6.0 * self.failure_rate;
        latency * (0.5 + load) * failure
    }

    pub(crate) fn note_end(&mut self, now: MonoTime, outcome: AttemptOutcome, took: Duration) {
        if matches!(outcome, AttemptOutcome::Broken | AttemptOutcome::TurnedAway) {
            self.wary_until = now + WARY_TIME;
        }
        match outcome {
            AttemptOutcome::Answered => {
                self.note_latency(took);
                self.note_failure(false);
                self.breaks_in_a_row = 0;
                self.pause = FIRST_PAUSE;
                self.paused_until = MonoTime::ZERO;
            }
            AttemptOutcome::Failed => self.note_failure(true),
            AttemptOutcome::Shed | AttemptOutcome::TurnedAway => {
                self.shed += 1;
                self.note_failure(true);
                self.paused_until = self.paused_until.max(now + SHED_PAUSE);
            }
            AttemptOutcome::Refused | AttemptOutcome::Unreachable => self.pause_now(now),
            AttemptOutcome::Silent => {
                self.note_latency(took);
                self.note_break(now);
            }
            AttemptOutcome::Broken | AttemptOutcome::Garbled => self.note_break(now),
            AttemptOutcome::OtherServer => self.is_gone = true,
            AttemptOutcome::WrongServer | AttemptOutcome::Cancelled => {}
        }
    }

    fn note_latency(&mut self, took: Duration) {
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

    fn note_failure(&mut self, has_failed: bool) {
        let sample = f64::from(u8::from(has_failed));
        self.failure_rate += SAMPLE_WEIGHT * (sample - self.failure_rate);
    }

    fn note_break(&mut self, now: MonoTime) {
        self.note_failure(true);
        self.breaks_in_a_row += 1;
        if self.breaks_in_a_row >= BREAKS_TO_PAUSE {
            self.pause_now(now);
        }
    }

    fn pause_now(&mut self, now: MonoTime) {
        self.paused_until = now + self.pause;
        self.pause = (self.pause * 2).min(MAX_PAUSE);
    }
}
