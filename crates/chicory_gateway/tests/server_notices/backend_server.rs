//! A backend server that names a rate limit, asks for rest or leaves, and counts its requests.

use std::collections::BTreeMap;
use std::time::Duration;

/// Length of the span in which requests to a cold server are counted.
const COLD_WINDOW: Duration = Duration::from_secs(1);
/// Length of the span in which requests are counted.
const WINDOW: Duration = Duration::from_secs(4);
/// Time from an answer with the limit until it binds the entry VM that passed it on.
const REACTION_TIME: Duration = Duration::from_millis(500);
/// Factor on the requests that a limit allows, and requests in addition to them.
const ALLOWED: (f64, f64) = (1.5, 5.0);

/// Time from an answer that says that the server leaves until no request of the entry VM that passed
/// it on may arrive.
const DRAIN_TIME: Duration = Duration::from_secs(2);
/// Time from an answer that asks for rest until it binds the entry VM that got it.
const REST_REACTION_TIME: Duration = Duration::from_millis(500);
/// Requests that may arrive in a rest all the same.
const ALLOWED_IN_REST: usize = 2;

/// Requests of one entry VM in a rest that it was asked for.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RestBroken {
    pub asked_at: Duration,
    pub entry_vm: usize,
    pub requests: usize,
}

/// A request that reached the server.
#[derive(Clone, Copy, Debug)]
struct Arrival {
    at: Duration,
    entry_vm: usize,
}

/// More requests than a limit allows in one span.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Excess {
    pub at: Duration,
    pub requests: usize,
    pub allowed: f64,
}

#[derive(Default)]
pub struct BackendServer {
    /// Spans in which the server is cold.
    cold_periods: Vec<(Duration, Duration)>,
    /// Greatest number of requests that the server runs at once; it turns away any more.
    pub capacity: Option<usize>,
    /// Time that the server states as left of a cold period, whatever is left of it.
    stated_cold: Option<Duration>,
    /// Limits in requests per second, by the time from which the server names them.
    limits: BTreeMap<Duration, Option<f64>>,
    arrivals: Vec<Arrival>,
    /// Spans in which the server turns all requests away and asks for rest.
    overloads: Vec<(Duration, Duration)>,
    leaves_at: Option<Duration>,
    /// Time at which each entry VM first passed on an answer that says that the server leaves.
    leaving_told_at: BTreeMap<usize, Duration>,
    /// Time that the server asks for.
    rest: Duration,
    /// Times at which entry VMs were asked for rest.
    rests: Vec<(Duration, usize)>,
    /// Time at which each entry VM first passed on an answer with a limit.
    told_at: BTreeMap<usize, Duration>,
}

impl BackendServer {
    pub fn set_limit(&mut self, at: Duration, limit_per_s: Option<f64>) {
        self.limits.insert(at, limit_per_s);
    }

    /// Returns the limit that the server names in an answer.
    pub fn limit_at(&self, at: Duration) -> Option<f64> {
        *self.limits.range(..=at).next_back()?.1
    }

    /// Creates a server that is cold in a span.
    pub fn cold(from: Duration, until: Duration) -> Self {
        let mut server = Self::default();
        server.set_cold(from, until);
        server
    }

    /// Lets the server be cold in a span.
    pub fn set_cold(&mut self, from: Duration, until: Duration) {
        self.cold_periods.push((from, until));
    }

    /// Lets the server state this time in each cold period, however long it stays cold.
    pub fn set_stated_cold(&mut self, stated: Duration) {
        self.stated_cold = Some(stated);
    }

    /// Returns what the server states as the time for which it stays cold.
    pub fn cold_left(&self, at: Duration) -> Duration {
        let mut periods = self.cold_periods.iter();
        let current = periods.find(|(from, until)| (*from..*until).contains(&at));
        let left = current.map(|(_, until)| until.saturating_sub(at));
        left.map_or(Duration::ZERO, |left| self.stated_cold.unwrap_or(left))
    }

    /// Returns the greatest number of requests in any second of a span in which the server is cold.
    pub fn most_in_a_second_of_cold(&self, from: Duration, until: Duration) -> usize {
        let is_counted = |at: &Duration| {
            let mut periods = self.cold_periods.iter();
            (from..until).contains(at)
                && periods.any(|(cold_from, end)| (*cold_from..*end).contains(at))
        };
        let arrivals = self.arrivals.iter().map(|arrival| arrival.at);
        let mut counted: Vec<Duration> = arrivals.filter(is_counted).collect();
        counted.sort();
        let ends = counted.iter().enumerate().map(|(last, end)| {
            let begin = end.saturating_sub(COLD_WINDOW);
            last + 1 - counted.partition_point(|at| *at <= begin)
        });
        ends.max().unwrap_or(0)
    }

    /// Lets the server turn away all requests in a span, and ask for rest each time.
    pub fn set_overload(&mut self, from: Duration, until: Duration, rest: Duration) {
        self.overloads.push((from, until));
        self.rest = rest;
    }

    /// Lets the server say in its answers from now on that it leaves.
    pub fn set_leaving(&mut self, at: Duration) {
        self.leaves_at = Some(at);
    }

    pub fn is_leaving_at(&self, at: Duration) -> bool {
        self.leaves_at.is_some_and(|leaves_at| at >= leaves_at)
    }

    pub fn record_leaving_answer(&mut self, at: Duration, entry_vm: usize) {
        self.leaving_told_at.entry(entry_vm).or_insert(at);
    }

    /// Returns the first request of an entry VM that knew too long that the server leaves.
    pub fn late_arrival(&self) -> Option<(Duration, usize)> {
        let mut arrivals = self.arrivals.iter();
        let late = arrivals.find(|arrival| {
            let told_at = self.leaving_told_at.get(&arrival.entry_vm);
            told_at.is_some_and(|told_at| arrival.at > *told_at + DRAIN_TIME)
        });
        late.map(|arrival| (arrival.at, arrival.entry_vm))
    }

    /// Returns the rest that the server asks for if it turns requests away.
    pub fn rest_at(&self, at: Duration) -> Option<Duration> {
        let mut overloads = self.overloads.iter();
        let is_overloaded = overloads.any(|(from, until)| (*from..*until).contains(&at));
        is_overloaded.then_some(self.rest)
    }

    pub fn record_rest(&mut self, at: Duration, entry_vm: usize) {
        self.rests.push((at, entry_vm));
    }

    /// Returns the first rest in which an entry VM sent more than a few requests.
    pub fn broken_rest(&self) -> Option<RestBroken> {
        let mut rests = self.rests.iter();
        rests.find_map(|(asked_at, entry_vm)| {
            let span = *asked_at + REST_REACTION_TIME..*asked_at + self.rest;
            let arrivals = self.arrivals.iter();
            let requests = arrivals
                .filter(|arrival| arrival.entry_vm == *entry_vm && span.contains(&arrival.at))
                .count();
            let rest = RestBroken {
                asked_at: *asked_at,
                entry_vm: *entry_vm,
                requests,
            };
            (requests > ALLOWED_IN_REST).then_some(rest)
        })
    }

    pub fn record_arrival(&mut self, at: Duration, entry_vm: usize) {
        self.arrivals.push(Arrival { at, entry_vm });
    }

    pub fn record_answer(&mut self, at: Duration, entry_vm: usize, limit_per_s: Option<f64>) {
        if limit_per_s.is_some() {
            self.told_at.entry(entry_vm).or_insert(at);
        }
    }

    /// Returns the first span after `from` with more requests from entry VMs that know of a limit
    /// than the greatest limit of the span allows.
    pub fn excess(&self, from: Duration) -> Option<Excess> {
        let counted: Vec<Duration> = self
            .arrivals
            .iter()
            .filter(|arrival| {
                let told_at = self.told_at.get(&arrival.entry_vm);
                told_at.is_some_and(|told_at| arrival.at >= *told_at + REACTION_TIME)
            })
            .map(|arrival| arrival.at)
            .collect();
        let ends = counted.iter().enumerate().filter(|(_, at)| **at >= from);
        let mut excesses = ends.filter_map(|(last, end)| {
            let begin = end.saturating_sub(WINDOW);
            let requests = counted[..=last].iter().filter(|at| **at > begin).count();
            let limit = self.greatest_limit(begin, *end)?;
            let (factor, extra) = ALLOWED;
            let allowed = factor * limit * WINDOW.as_secs_f64() + extra;
            let excess = Excess {
                at: *end,
                requests,
                allowed,
            };
            (count(requests) > allowed).then_some(excess)
        });
        excesses.next()
    }

    /// Returns the greatest limit in a span; `None` if a limit was lifted for a part of it.
    fn greatest_limit(&self, begin: Duration, end: Duration) -> Option<f64> {
        let within = self.limits.range(begin..=end);
        let all = self
            .limits
            .range(..begin)
            .next_back()
            .into_iter()
            .chain(within);
        let mut all = all.map(|(_, limit)| *limit);
        let first = all.next()?;
        all.fold(first, |one, other| Some(one?.max(other?)))
    }

    /// Returns the requests per second in a span.
    pub fn rate_between(&self, begin: Duration, end: Duration) -> f64 {
        let within = |arrival: &&Arrival| arrival.at >= begin && arrival.at < end;
        let requests = self.arrivals.iter().filter(within).count();
        count(requests) / end.saturating_sub(begin).as_secs_f64()
    }
}

fn count(items: usize) -> f64 {
    f64::from(u32::try_from(items).expect("few items"))
}
