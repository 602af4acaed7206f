//! Recent load of one server that owns keys.

use std::time::Duration;

use chicory_types::MonoTime;

use crate::ObservedAnswers;

/// Time in which the weight of a report halves. Hot keys change within seconds, and 350 ms gave a
/// queue at the owner that was full for longer.
const HALF_LIFE: Duration = Duration::from_millis(250);

/// Returns the factor by which sums of reports decay in a time.
pub(crate) fn decay_factor(passed: Duration) -> f64 {
    0.5_f64.powf(passed.as_secs_f64() / HALF_LIFE.as_secs_f64())
}

/// Sums over the reports of all senders about one server, in which older reports weigh less.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct OwnerLoad {
    pub(crate) requested: f64,
    pub(crate) answered: f64,
    pub(crate) answer_seconds: f64,
    pub(crate) in_flight: f64,
    /// Estimate of the requests that the server can answer in a second.
    pub(crate) capacity_per_s: Option<f64>,
    decayed_at: MonoTime,
}

impl OwnerLoad {
    pub(crate) fn decay(&mut self, now: MonoTime) {
        let factor = decay_factor(now.saturating_sub(self.decayed_at));
        self.decayed_at = now;
        self.requested *= factor;
        self.answered *= factor;
        self.answer_seconds *= factor;
        self.in_flight *= factor;
    }

    pub(crate) fn add_answers(&mut self, answers: ObservedAnswers) {
        self.answered += f64::from(answers.answered);
        self.answer_seconds += answers.answer_time.as_secs_f64();
        self.in_flight += f64::from(answers.in_flight);
    }
}
