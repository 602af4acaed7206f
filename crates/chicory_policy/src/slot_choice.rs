//! Chooses a server by the sender's part of the slots.

use std::time::Duration;

use crate::SlotCandidate;

/// Greatest probability that a server is full with which the sender's own slot there is used.
const MAX_FULL_OF_OWN: f64 = 0.9;
/// Probability that the best other server is full above which waiting for an own slot is better.
const MAX_FULL_OF_OTHER: f64 = 0.2;
/// A part of a slot is used as if it were this many times greater. The part is used by chance, and
/// a sender that has only such parts would otherwise often use slots of others while its own are
/// free.
const FRACTION_FACTOR: f64 = 2.0;
/// Exponents of the speed and of the probability that a server has a free slot, in the weight of a
/// server among own slots and among those of others. The greater ones for others send overflow to
/// fast servers, where it is over sooner: with an exponent of 1 instead of 5, the 95th percentile of
/// callers' times in a simulation was a fifth higher.
const OWN_EXPONENTS: (i32, i32) = (3, 16);
const OTHER_EXPONENTS: (i32, i32) = (5, 24);
/// Least probability that a server has a free slot in weights.
const MIN_FREE: f64 = 0.01;

/// Longest time for which an own slot is awaited, relative to the typical time of a request. In a
/// simulation at 0.8 of capacity, the share of requests that arrived at a full server fell from 0.38
/// to 0.29 with it, and with 1.0 the 95th percentile of callers' times rose by 8 %.
const LONGEST_WAIT: f64 = 0.4;

/// What to do with a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SlotStep<T> {
    /// It is sent to a server where the sender has a free slot of its own.
    Own(T),
    /// No own slot is free; it is sent to this server.
    Beyond(T),
    /// No own slot is free, and other servers are probably full: an own slot is awaited for a short
    /// time, and after that the request is sent to this server.
    AwaitOwn(T),
}

/// Chooses among servers, which are considered one after the other.
///
/// # Examples
///
/// ```
/// use chicory_policy::{SlotCandidate, SlotChoice, SlotStep};
///
/// let server = SlotCandidate {
///     own_slots: 0.0,
///     slots: 3,
///     in_flight: 0,
///     speed: 1.0,
///     full_probability: 0.0,
/// };
/// let mut choice = SlotChoice::default();
/// choice.consider(1, &server, [0.5, 0.5]);
/// choice.consider(2, &SlotCandidate { own_slots: 1.0, ..server }, [0.5, 0.5]);
/// assert_eq!(choice.step(), Some(SlotStep::Own(2)));
/// ```
#[derive(Clone, Debug)]
pub struct SlotChoice<T> {
    /// The best server with a free own slot, and its rank; less is better.
    own: Option<(f64, T)>,
    /// The best of all servers, its rank, and the probability that it is full.
    other: Option<(f64, T, f64)>,
    /// Whether the sender has a part of any server.
    has_part: bool,
}

impl<T> Default for SlotChoice<T> {
    fn default() -> Self {
        Self {
            own: None,
            other: None,
            has_part: false,
        }
    }
}

impl<T: Copy> SlotChoice<T> {
    /// Considers a server. `randoms` are uniformly distributed from 0 to 1.
    ///
    /// Servers are drawn at random in proportion to weights, so that senders with the same data
    /// choose different ones: each gets an exponentially distributed rank, and the least one wins.
    pub fn consider(&mut self, server: T, candidate: &SlotCandidate, randoms: [f64; 2]) {
        let [for_rank, for_fraction] = randoms;
        let rank = -(1.0 - for_rank).max(f64::MIN_POSITIVE).ln();
        let free = (1.0 - candidate.full_probability).max(MIN_FREE);
        let weight = |(of_speed, of_free)| candidate.speed.powi(of_speed) * free.powi(of_free);
        self.has_part |= candidate.own_slots > 0.0;
        let room = candidate.own_slots - f64::from(candidate.in_flight);
        let is_own = room > 0.0
            && for_fraction < room * FRACTION_FACTOR
            && candidate.full_probability < MAX_FULL_OF_OWN;
        if is_own {
            let rank = rank / (weight(OWN_EXPONENTS) * room.clamp(0.1, 1.0));
            if self.own.as_ref().is_none_or(|(least, _)| rank < *least) {
                self.own = Some((rank, server));
            }
        }
        let rank = rank / (weight(OTHER_EXPONENTS) * f64::from(candidate.slots.max(1)));
        if self.other.as_ref().is_none_or(|(least, ..)| rank < *least) {
            self.other = Some((rank, server, candidate.full_probability));
        }
    }

    /// Returns the longest time for which a request awaits an own slot, if requests of its service
    /// typically take `typical`.
    #[must_use]
    pub fn longest_wait(typical: Duration) -> Duration {
        typical.mul_f64(LONGEST_WAIT)
    }

    /// Returns what to do, or `None` if no server was considered.
    #[must_use]
    pub fn step(&self) -> Option<SlotStep<T>> {
        if let Some((_, server)) = self.own {
            return Some(SlotStep::Own(server));
        }
        let (_, server, full_probability) = self.other?;
        Some(if self.has_part && full_probability > MAX_FULL_OF_OTHER {
            SlotStep::AwaitOwn(server)
        } else {
            SlotStep::Beyond(server)
        })
    }
}
