//! Bounds how many requests are on their way to a backend server.

use std::time::Duration;

use chicory_types::MonoTime;

/// Part of the latency target that answers may take on average: single requests take up to twice
/// the average.
const AIMED_PART: f64 = 0.8;
/// Weight of the latest answer in the average.
const SAMPLE_WEIGHT: f64 = 0.15;
/// Requests by which the window grows over a window of answers that were in time.
const GROWTH: f64 = 0.5;
/// Time between two cuts where a server turns requests away, about that of a short request.
const SHED_ROUND: Duration = Duration::from_millis(100);
/// Part of the window that is left after a cut.
const CUT_PART: f64 = 0.8;
/// Part of the window that a request of each lower rank does without.
const RANK_STEP: f64 = 0.2;
/// Greatest window, and that of a server that nothing is known of.
const MAX_WINDOW: f64 = 256.0;

/// Bounds how many requests one entry VM has on their way to one backend server.
///
/// It answers the load of a hot key, whose single owner is asked for more than it can do: a long
/// queue at the server makes every answer late, a short one keeps the slots just as busy. The
/// window grows by addition while answers come in good time and is cut by a factor when they take
/// too much of the latency target or the server turns requests away (AIMD, as in TCP). Requests of
/// a lower rank meet a smaller window, as in DAGOR's admission by priority.
///
/// # Examples
///
/// ```
/// use chicory_policy::AdmissionWindow;
///
/// let window = AdmissionWindow::default();
/// assert!(window.admits(0, 0, 1.0, 0.5));
/// assert!(!window.admits(1_000, 0, 1.0, 0.5));
/// ```
#[derive(Clone, Debug)]
pub struct AdmissionWindow {
    window: f64,
    /// Average of the time to an answer, as a part of the latency target.
    target_part: f64,
    cut_at: MonoTime,
}

impl Default for AdmissionWindow {
    fn default() -> Self {
        Self {
            window: MAX_WINDOW,
            target_part: 0.0,
            cut_at: MonoTime::ZERO,
        }
    }
}

impl AdmissionWindow {
    /// Whether one more request may go to the server while `in_flight` others are on their way.
    ///
    /// `floor` is the number that keeps this entry VM's share of the server's slots busy; fewer are
    /// never admitted. `chance` is drawn evenly from 0 to 1, and makes windows between two whole
    /// numbers admit a part of the requests.
    #[must_use]
    pub fn admits(&self, in_flight: u32, rank: u32, floor: f64, chance: f64) -> bool {
        let window = self.window / (1.0 + RANK_STEP * f64::from(rank));
        f64::from(in_flight) + chance < window.max(floor)
    }

    /// Takes in that a request with this latency target was answered after `took`, while `in_flight`
    /// others were on their way. `has_queue` tells that requests wait at the server: where they
    /// don't, answers take long for another reason, and fewer requests would not be faster.
    pub fn note_answer(
        &mut self,
        now: MonoTime,
        (took, target): (Duration, Duration),
        has_queue: bool,
        in_flight: u32,
        floor: f64,
    ) {
        let part = took.as_secs_f64() / target.as_secs_f64().max(f64::MIN_POSITIVE);
        self.target_part += SAMPLE_WEIGHT * (part - self.target_part);
        if has_queue && self.target_part > AIMED_PART {
            self.cut(now, took, in_flight, floor);
        } else {
            self.window = (self.window + GROWTH / self.window.max(1.0)).min(MAX_WINDOW);
        }
    }

    /// Takes in that the server turned a request away because it was full.
    pub fn note_shed(&mut self, now: MonoTime, in_flight: u32, floor: f64) {
        self.cut(now, SHED_ROUND, in_flight, floor);
    }

    /// Cuts the window once in the time of an answer: those on their way tell of the former window.
    fn cut(&mut self, now: MonoTime, round: Duration, in_flight: u32, floor: f64) {
        if now < self.cut_at + round {
            return;
        }
        self.cut_at = now;
        let used = self.window.min(f64::from(in_flight) + 1.0);
        self.window = (used * CUT_PART).max(floor);
    }
}
