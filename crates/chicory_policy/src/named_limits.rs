//! Rate limits that servers state in their answers.

use std::collections::BTreeMap;
use std::time::Duration;

use chicory_types::MonoTime;

/// Time for which a lifted limit is remembered, so that an older answer that still names it does
/// not put it in force again.
const LIFTED_RETENTION: Duration = Duration::from_secs(10);

/// What one answer of a server says about its rate limit.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LimitObservation {
    /// Requests per second that the server takes from all entry VMs together; `None` if the answer
    /// names no limit.
    pub rate_per_s: Option<f64>,
    /// Time at which the request was sent. The server created the answer later.
    pub sent_at: MonoTime,
    /// Time at which the answer was received. The server created the answer earlier.
    pub received_at: MonoTime,
}

impl LimitObservation {
    /// Returns the observation that is still valid after both were made.
    ///
    /// The answer that was certainly created later is valid. If neither was, the stricter one is.
    fn combined_with(self, other: Self) -> Self {
        if other.sent_at >= self.received_at {
            return other;
        }
        if self.sent_at >= other.received_at {
            return self;
        }
        let rate_per_s = match (self.rate_per_s, other.rate_per_s) {
            (Some(one), Some(another)) => Some(one.min(another)),
            (one, another) => one.or(another),
        };
        let is_same = |observation: &Self| observation.rate_per_s == rate_per_s;
        let matching = [self, other].into_iter().filter(is_same);
        // Both have the same limit, or one has it and counts alone.
        let latest = matching.reduce(|one, another| Self {
            sent_at: one.sent_at.max(another.sent_at),
            received_at: one.received_at.max(another.received_at),
            ..one
        });
        latest.unwrap_or(self)
    }
}

/// How an observation changed what is known of a server's limit.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum LimitChange {
    /// The limit stays as it was.
    Unchanged,
    /// The server has a new limit, in requests per second.
    Named(f64),
    /// The server has no limit any more.
    Lifted,
}

/// Rate limits that servers state in their answers, by the server.
///
/// A limit is in force from the first answer that names it until the first later answer that does
/// not. Answers may overtake each other, and others report theirs late, so the times at which
/// requests were sent and answers were received decide which answer is the later one.
///
/// # Examples
///
/// ```
/// use chicory_policy::{LimitChange, LimitObservation, NamedLimits};
/// use std::time::Duration;
///
/// let mut limits = NamedLimits::default();
/// let observation = |rate_per_s, sent_at_ms| LimitObservation {
///     rate_per_s,
///     sent_at: Duration::from_millis(sent_at_ms),
///     received_at: Duration::from_millis(sent_at_ms + 100),
/// };
/// let change = limits.record(&"server", observation(Some(6.2), 1000));
/// assert_eq!(change, LimitChange::Named(6.2));
/// // This answer may have been created before the first one.
/// assert_eq!(limits.record(&"server", observation(None, 1050)), LimitChange::Unchanged);
/// assert_eq!(limits.record(&"server", observation(None, 1100)), LimitChange::Lifted);
/// ```
#[derive(Clone, Debug)]
pub struct NamedLimits<Server> {
    observations: BTreeMap<Server, LimitObservation>,
}

impl<Server: Ord> Default for NamedLimits<Server> {
    fn default() -> Self {
        Self {
            observations: BTreeMap::new(),
        }
    }
}

impl<Server: Ord + Clone> NamedLimits<Server> {
    /// Records what an answer of a server says.
    pub fn record(&mut self, server: &Server, observation: LimitObservation) -> LimitChange {
        let Some(known) = self.observations.get_mut(server) else {
            let Some(rate_per_s) = observation.rate_per_s else {
                return LimitChange::Unchanged;
            };
            self.observations.insert(server.clone(), observation);
            return LimitChange::Named(rate_per_s);
        };
        let former_rate = known.rate_per_s;
        *known = known.combined_with(observation);
        match known.rate_per_s {
            rate if rate == former_rate => LimitChange::Unchanged,
            Some(rate_per_s) => LimitChange::Named(rate_per_s),
            None => LimitChange::Lifted,
        }
    }

    /// Returns the limit of a server in requests per second, if it has one.
    #[must_use]
    pub fn rate_per_s(&self, server: &Server) -> Option<f64> {
        self.observations.get(server)?.rate_per_s
    }

    /// Returns the observation that the state of a server's limit is based on.
    #[must_use]
    pub fn observation(&self, server: &Server) -> Option<&LimitObservation> {
        self.observations.get(server)
    }

    /// Returns all servers that have or recently had a limit, with the observations that decide.
    pub fn observations(&self) -> impl Iterator<Item = (&Server, &LimitObservation)> {
        self.observations.iter()
    }

    /// Removes limits that were lifted long ago.
    pub fn remove_expired(&mut self, now: MonoTime) {
        self.observations.retain(|_, observation| {
            observation.rate_per_s.is_some() || now < observation.received_at + LIFTED_RETENTION
        });
    }

    /// Keeps only limits of servers that are still known.
    pub fn retain(&mut self, is_known: impl Fn(&Server) -> bool) {
        self.observations.retain(|server, _| is_known(server));
    }
}
