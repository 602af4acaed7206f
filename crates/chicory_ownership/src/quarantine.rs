//! Quarantine of requests that crashed backend servers.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use chicory_types::{Incarnation, ServerId};

use crate::claims::millis;

/// Number of crashes after which a request is refused if it was the only running request in one of
/// them.
pub const QUARANTINE_CRASHES: usize = 2;
/// Number of crashes after which a request is refused if other requests ran beside it each time.
pub const QUARANTINE_SHARED_CRASHES: usize = 3;
/// How long a fingerprint is kept after its last crash.
pub const QUARANTINE_RETENTION: Duration = Duration::from_hours(1);
/// Maximum number of suspected fingerprints. Those whose last crash is oldest are removed first.
pub const MAX_SUSPECTS: usize = 1_024;

/// Record of a request fingerprint that was running when backend servers crashed.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Suspect {
    /// The incarnations of servers that crashed.
    pub crashes: BTreeSet<(ServerId, Incarnation)>,
    /// Whether it was the only running request in one of the crashes.
    pub was_alone: bool,
    /// Log clock at the last crash, in milliseconds.
    pub last_crash_ms: u64,
}

impl Suspect {
    /// Returns whether requests with the fingerprint are refused.
    #[must_use]
    pub fn is_quarantined(&self) -> bool {
        let limit = if self.was_alone {
            QUARANTINE_CRASHES
        } else {
            QUARANTINE_SHARED_CRASHES
        };
        self.crashes.len() >= limit
    }
}

/// Suspected and quarantined requests, by fingerprint.
///
/// If other requests ran beside a request when a server crashed, one of them may have been the
/// cause. Such a request is refused only after one more crash than a request that ran alone.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Quarantine {
    suspects: BTreeMap<u64, Suspect>,
}

impl Quarantine {
    /// Records a crash and returns the fingerprints that are refused from now on.
    ///
    /// Repeated reports of a crash of the same server incarnation count once.
    pub fn count_crash(
        &mut self,
        server: &ServerId,
        incarnation: Incarnation,
        fingerprints: &[u64],
        was_alone: bool,
        at_ms: u64,
    ) -> Vec<u64> {
        let mut newly_refused = Vec::new();
        for fingerprint in fingerprints {
            let suspect = self.suspects.entry(*fingerprint).or_default();
            let was_quarantined = suspect.is_quarantined();
            suspect.crashes.insert((server.clone(), incarnation));
            suspect.was_alone |= was_alone;
            suspect.last_crash_ms = at_ms;
            if suspect.is_quarantined() && !was_quarantined {
                newly_refused.push(*fingerprint);
            }
        }
        newly_refused
    }

    /// Removes a fingerprint and returns whether its requests were refused.
    pub fn acquit(&mut self, fingerprint: u64) -> bool {
        let suspect = self.suspects.remove(&fingerprint);
        suspect.is_some_and(|suspect| suspect.is_quarantined())
    }

    /// Removes fingerprints past [`QUARANTINE_RETENTION`] and the oldest ones above
    /// [`MAX_SUSPECTS`].
    ///
    /// Returns those of them that were refused and are served again.
    pub fn expire(&mut self, at_ms: u64) -> Vec<u64> {
        let mut by_age: Vec<(u64, u64)> = self
            .suspects
            .iter()
            .map(|(fingerprint, suspect)| (suspect.last_crash_ms, *fingerprint))
            .collect();
        by_age.sort_unstable();
        let surplus = by_age.len().saturating_sub(MAX_SUSPECTS);
        let is_old = |at: u64| at + millis(QUARANTINE_RETENTION) <= at_ms;
        let expired = by_age
            .into_iter()
            .enumerate()
            .filter(|(rank, (at, _))| *rank < surplus || is_old(*at))
            .map(|(_, (_, fingerprint))| fingerprint);
        expired
            .collect::<Vec<_>>()
            .into_iter()
            .filter(|fingerprint| self.acquit(*fingerprint))
            .collect()
    }

    /// Returns whether [`expire`](Self::expire) would remove anything.
    #[must_use]
    pub fn has_expired(&self, at_ms: u64) -> bool {
        let is_old = |s: &Suspect| s.last_crash_ms + millis(QUARANTINE_RETENTION) <= at_ms;
        self.suspects.len() > MAX_SUSPECTS || self.suspects.values().any(is_old)
    }

    /// Iterates over the fingerprints whose requests are refused.
    pub fn quarantined(&self) -> impl Iterator<Item = u64> {
        let suspects = self.suspects.iter();
        suspects.filter_map(|(fingerprint, s)| s.is_quarantined().then_some(*fingerprint))
    }

    /// Returns all suspects by fingerprint.
    #[must_use]
    pub fn suspects(&self) -> &BTreeMap<u64, Suspect> {
        &self.suspects
    }

    /// Restores a quarantine from its suspects.
    #[must_use]
    pub fn restore(suspects: BTreeMap<u64, Suspect>) -> Self {
        Self { suspects }
    }
}
