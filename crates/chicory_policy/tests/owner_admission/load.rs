//! The load that is played, and what callers got.

/// The load of one keyed service.
#[derive(Clone, Copy, Debug)]
pub struct Load {
    pub entry_count: usize,
    /// Demand for the hot owner as a multiple of what it can answer.
    pub hot_demand: f64,
    pub work_s: f64,
    pub target_s: f64,
    /// Time for which callers wait, from their first try.
    pub wait_s: f64,
    /// Worth of an answer on time, and of a late one.
    pub worth: (f64, f64),
    pub seed: u64,
}

/// Who decides what is sent to owners.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// Everything is sent.
    Everything,
    /// Fractions by the leader, as the policy decides.
    Fractions,
    /// Refuses a request that would wait too long, with knowledge of the queue at each moment. It
    /// bounds what can be reached.
    KnownQueue,
}

/// Worth of requests relative to answers on time.
#[derive(Clone, Copy, Debug, Default)]
pub struct Worth {
    /// Of the requests for hot owners.
    pub hot: f64,
    /// Of all requests.
    pub all: f64,
}

/// Means over all original requests. Errors are relative to the tries for the hot owner.
#[derive(Clone, Copy, Debug, Default)]
pub struct Outcome {
    /// Worth if the time of an answer counts from the try that is answered.
    pub worth_by_try: Worth,
    /// Worth if it counts from the caller's first try.
    pub worth_by_caller: Worth,
    /// Refused by admission while the owner had an idle slot.
    pub refused_with_room: f64,
    /// Sent though the queue, in the mean time of work, left no time to answer within the target.
    pub sent_too_late: f64,
}
