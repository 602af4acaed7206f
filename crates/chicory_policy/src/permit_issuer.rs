//! Divides the rate limits of servers among all that send to them.

use std::collections::BTreeMap;
use std::time::Duration;

use chicory_types::MonoTime;

use crate::decaying_rate::DecayingRate;
use crate::{PermitLimit, TokenBucket};

/// Rank of a request; 0 is the most urgent.
pub type Rank = u32;

/// Permits that a new issuer has for a server: another one may just have issued the others.
const INITIAL_PERMITS: f64 = 1.0;
/// Time without requests after which the permits of a server are forgotten.
const RETENTION: Duration = Duration::from_mins(1);
/// Time for whose more urgent requests permits are kept back from less urgent ones.
const RESERVE_TIME: Duration = Duration::from_secs(2);
/// Bounds of the time after which a permit may be requested again. The limit or the demand may
/// change, so it is short even if many wait.
const RETRY_AFTER_BOUNDS: (Duration, Duration) =
    (Duration::from_millis(20), Duration::from_secs(1));

/// Answer to the request for one permit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PermitDecision {
    /// One request may be sent to the server.
    Granted,
    /// None may be sent, and this is the time after which one probably may.
    Denied(Duration),
}

#[derive(Clone, Debug)]
struct IssuedPermits {
    bucket: TokenBucket,
    /// Requests for permits, by rank.
    demand: BTreeMap<Rank, DecayingRate>,
    denials: DecayingRate,
    requested_at: MonoTime,
}

/// Divides the rate limits of servers among all that send to them.
///
/// The senders request a permit for each request to a server with a limit. All permits of a server
/// come from one token bucket, so their sum keeps the limit, however many senders there are and
/// however the demand is divided among them. Some permits are kept back for more urgent requests, so
/// less urgent ones get only what those leave.
///
/// # Examples
///
/// ```
/// use chicory_policy::{PermitDecision, PermitIssuer};
/// use std::time::Duration;
///
/// let mut issuer = PermitIssuer::default();
/// let now = Duration::from_secs(5);
/// let mut decide = || issuer.decide(now, &"server", 2.0, 0);
/// assert_eq!(decide(), PermitDecision::Granted);
/// assert!(matches!(decide(), PermitDecision::Denied(_)));
/// ```
#[derive(Clone, Debug)]
pub struct PermitIssuer<Server> {
    servers: BTreeMap<Server, IssuedPermits>,
}

impl<Server> Default for PermitIssuer<Server> {
    fn default() -> Self {
        Self {
            servers: BTreeMap::new(),
        }
    }
}

impl<Server: Ord + Clone> PermitIssuer<Server> {
    /// Decides about one permit for a server that names this limit in its answers.
    pub fn decide(
        &mut self,
        now: MonoTime,
        server: &Server,
        rate_per_s: f64,
        rank: Rank,
    ) -> PermitDecision {
        self.decide_within(now, server, PermitLimit::named(rate_per_s), rank)
    }

    /// Decides about one permit for a server with this limit.
    pub fn decide_within(
        &mut self,
        now: MonoTime,
        server: &Server,
        limit: PermitLimit,
        rank: Rank,
    ) -> PermitDecision {
        let PermitLimit { rate_per_s, burst } = limit;
        let issued = self
            .servers
            .entry(server.clone())
            .or_insert_with(|| IssuedPermits {
                bucket: TokenBucket::new(rate_per_s, INITIAL_PERMITS, now),
                demand: BTreeMap::new(),
                denials: DecayingRate::default(),
                requested_at: now,
            });
        issued.requested_at = now;
        issued.bucket.set_rate(rate_per_s, burst, now);
        issued.decide(now, rate_per_s, burst, rank)
    }

    /// Removes servers for which no permit was requested for some time.
    pub fn remove_unused(&mut self, now: MonoTime) {
        self.servers
            .retain(|_, issued| now < issued.requested_at + RETENTION);
    }
}

impl IssuedPermits {
    fn decide(&mut self, now: MonoTime, rate_per_s: f64, burst: f64, rank: Rank) -> PermitDecision {
        let more_urgent = self.demand.range(..rank);
        let urgent_rate: f64 = more_urgent
            .map(|(_, requests)| requests.per_second(now))
            .sum();
        let reserve = (urgent_rate * RESERVE_TIME.as_secs_f64()).min(burst - 1.0);
        self.demand.entry(rank).or_default().record(now);
        let missing = match self.bucket.try_take_above(now, reserve) {
            Ok(()) => return PermitDecision::Granted,
            Err(missing) => missing,
        };
        // Others that were denied a permit come back as well.
        let backlog = Duration::from_secs_f64(self.denials.per_second(now) / rate_per_s);
        self.denials.record(now);
        let (least, most) = RETRY_AFTER_BOUNDS;
        PermitDecision::Denied(missing.saturating_add(backlog).clamp(least, most))
    }
}
