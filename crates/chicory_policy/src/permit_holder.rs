//! Permits that one sender holds for a server with a rate limit.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use chicory_types::MonoTime;

use crate::{Rank, SpacedShare};

/// Longest time that a request waits for a permit: several round trips to the issuer.
const MAX_WAIT: Duration = Duration::from_millis(300);
/// Time for which a permit is valid. A permit whose request has gone serves the next one.
const PERMIT_VALIDITY: Duration = Duration::from_millis(500);
/// Time without an answer of the issuer after which it is considered unavailable.
const ISSUER_TIMEOUT: Duration = Duration::from_millis(600);
/// Greatest number of requests of one rank that wait for permits of one server.
const MAX_PENDING: u32 = 8;
/// Fraction of a limit that senders use together without an issuer. The others may still get
/// permits for all of it.
pub(crate) const FRACTION_WITHOUT_ISSUER: f64 = 0.5;

/// Whether a request may be sent to a server with a rate limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PermitStep {
    /// It may be sent now.
    Send,
    /// A permit was requested. The request waits for the answer until this time at most.
    Wait(MonoTime),
    /// It may not be sent, and this is the time after which one probably may.
    Deny(Duration),
}

/// Circumstances of a sender that decide about a request.
#[derive(Clone, Copy, Debug)]
pub struct SenderState {
    /// Limit of the server for all senders together, in requests per second.
    pub rate_per_s: f64,
    /// Number of senders that may send to the server.
    pub sender_count: u32,
    /// Whether the sender is in contact with an issuer.
    pub has_issuer: bool,
    /// A random number drawn uniformly from 0 to 1.
    pub random_fraction: f64,
}

#[derive(Clone, Debug, Default)]
struct RankedPermits {
    /// Permits to request.
    unrequested: u32,
    /// Permits that were requested, without an answer so far.
    requested: u32,
    /// Times at which the permits that are held end.
    valid_until: VecDeque<MonoTime>,
    denied_until: MonoTime,
}

/// Permits that one sender holds for a server with a rate limit.
///
/// A request that finds no permit requests one and waits for the answer for some round trips at
/// most. After a denial, requests are denied at once until the issuer may have another permit. A
/// sender without an issuer uses a small share of the limit by itself.
///
/// # Examples
///
/// ```
/// use chicory_policy::{PermitHolder, PermitStep, SenderState};
/// use std::time::Duration;
///
/// let mut holder = PermitHolder::default();
/// let sender = SenderState {
///     rate_per_s: 3.0,
///     sender_count: 10,
///     has_issuer: true,
///     random_fraction: 0.5,
/// };
/// let now = Duration::from_secs(5);
/// assert!(matches!(holder.next_step(now, 0, None, sender), PermitStep::Wait(_)));
/// assert_eq!(holder.take_requests(now), [(0, 1)]);
/// holder.record_answer(now, 0, 1, 0, Duration::ZERO);
/// assert_eq!(holder.next_step(now, 0, Some(now), sender), PermitStep::Send);
/// ```
#[derive(Clone, Debug, Default)]
pub struct PermitHolder {
    ranks: BTreeMap<Rank, RankedPermits>,
    /// When the oldest request for permits that has no answer was sent.
    unanswered_since: Option<MonoTime>,
    share: Option<SpacedShare>,
}

impl PermitHolder {
    /// Decides whether a request may be sent. `waiting_since` is the time at which it began to wait
    /// for a permit of this server.
    pub fn next_step(
        &mut self,
        now: MonoTime,
        rank: Rank,
        waiting_since: Option<MonoTime>,
        sender: SenderState,
    ) -> PermitStep {
        if self.try_take_permit(now, rank) {
            return PermitStep::Send;
        }
        let is_unanswered = self
            .unanswered_since
            .is_some_and(|since| now >= since + ISSUER_TIMEOUT);
        if !sender.has_issuer || is_unanswered {
            return self.use_own_share(now, sender);
        }
        let expected = Duration::from_secs_f64(1.0 / sender.rate_per_s).min(MAX_WAIT);
        let ranked = self.ranks.entry(rank).or_default();
        if now < ranked.denied_until {
            return PermitStep::Deny(ranked.denied_until.saturating_sub(now));
        }
        match waiting_since {
            Some(since) if now >= since + MAX_WAIT => PermitStep::Deny(expected),
            Some(since) => PermitStep::Wait(since + MAX_WAIT),
            None if ranked.unrequested + ranked.requested >= MAX_PENDING => {
                PermitStep::Deny(expected)
            }
            None => {
                ranked.unrequested += 1;
                PermitStep::Wait(now + MAX_WAIT)
            }
        }
    }

    /// Whether requests of this rank are denied until later.
    #[must_use]
    pub fn is_denied(&self, now: MonoTime, rank: Rank) -> bool {
        let ranked = self.ranks.get(&rank);
        ranked.is_some_and(|ranked| now < ranked.denied_until && ranked.valid_until.is_empty())
    }

    /// Returns the permits that have to be requested, by rank, and records that they are.
    pub fn take_requests(&mut self, now: MonoTime) -> Vec<(Rank, u32)> {
        let mut requests = Vec::new();
        for (rank, ranked) in &mut self.ranks {
            let count = std::mem::take(&mut ranked.unrequested);
            if count > 0 {
                ranked.requested += count;
                requests.push((*rank, count));
            }
        }
        if !requests.is_empty() {
            self.unanswered_since.get_or_insert(now);
        }
        requests
    }

    /// Records an answer of the issuer.
    pub fn record_answer(
        &mut self,
        now: MonoTime,
        rank: Rank,
        granted: u32,
        denied: u32,
        retry_after: Duration,
    ) {
        self.unanswered_since = None;
        let ranked = self.ranks.entry(rank).or_default();
        ranked.requested = ranked
            .requested
            .saturating_sub(granted.saturating_add(denied));
        for _ in 0..granted.min(MAX_PENDING) {
            ranked.valid_until.push_back(now + PERMIT_VALIDITY);
        }
        if denied > 0 {
            ranked.denied_until = now + retry_after;
        }
    }

    /// Records that another issuer is in charge: what is unanswered has to be requested again.
    pub fn record_new_issuer(&mut self) {
        self.unanswered_since = None;
        for ranked in self.ranks.values_mut() {
            ranked.unrequested += std::mem::take(&mut ranked.requested);
        }
    }

    /// Takes a permit of this rank, or else one of a less urgent rank.
    fn try_take_permit(&mut self, now: MonoTime, rank: Rank) -> bool {
        for ranked in self.ranks.values_mut() {
            ranked.valid_until.retain(|valid_until| now < *valid_until);
        }
        let mut suitable = self.ranks.range_mut(rank..);
        suitable.any(|(_, ranked)| ranked.valid_until.pop_front().is_some())
    }

    fn use_own_share(&mut self, now: MonoTime, sender: SenderState) -> PermitStep {
        let sender_count = f64::from(sender.sender_count.max(1));
        let turns_per_s = sender.rate_per_s * FRACTION_WITHOUT_ISSUER / sender_count;
        let first_fraction = sender.random_fraction;
        let share = self
            .share
            .get_or_insert_with(|| SpacedShare::new(now, turns_per_s, first_fraction));
        match share.try_use_turn(now, turns_per_s) {
            Ok(()) => PermitStep::Send,
            Err(until_turn) => PermitStep::Deny(until_turn),
        }
    }
}
