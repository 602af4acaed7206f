//! Which requests for the keys of overloaded servers one sender sends.

use std::collections::BTreeMap;
use std::time::Duration;

use chicory_types::MonoTime;

use crate::Rank;
use crate::admitted_share::AdmittedShare;

/// Time after which fractions are no longer valid. They are renewed each 350 ms, and without a
/// leader nobody would raise them again.
const VALIDITY: Duration = Duration::from_millis(1500);

/// Which requests for the keys of overloaded servers one sender sends.
///
/// More urgent requests go first: some of the admissions of less urgent ones are kept back for them.
///
/// # Examples
///
/// ```
/// use chicory_policy::AdmittedFractions;
/// use std::time::Duration;
///
/// let mut fractions = AdmittedFractions::default();
/// let now = Duration::from_secs(5);
/// fractions.replace(now, [("owner", 0.25)]);
/// let admitted = (0..100).filter(|_| fractions.try_admit(now, &"owner", 0, 0.5));
/// assert_eq!(admitted.count(), 25);
/// assert!(fractions.try_admit(now, &"another", 0, 0.5));
/// ```
#[derive(Clone, Debug)]
pub struct AdmittedFractions<Owner> {
    fractions: BTreeMap<Owner, f64>,
    replaced_at: MonoTime,
    shares: BTreeMap<Owner, AdmittedShare>,
}

impl<Owner> Default for AdmittedFractions<Owner> {
    fn default() -> Self {
        Self {
            fractions: BTreeMap::new(),
            replaced_at: MonoTime::ZERO,
            shares: BTreeMap::new(),
        }
    }
}

impl<Owner: Ord + Clone> AdmittedFractions<Owner> {
    /// Replaces all fractions. Owners that are not among them get everything.
    pub fn replace(&mut self, now: MonoTime, fractions: impl IntoIterator<Item = (Owner, f64)>) {
        self.fractions = fractions.into_iter().collect();
        self.replaced_at = now;
    }

    /// Decides whether a request may be sent. `chance` is a random number from 0 to 1.
    pub fn try_admit(&mut self, now: MonoTime, owner: &Owner, rank: Rank, chance: f64) -> bool {
        let Some(fraction) = self.fraction(now, owner) else {
            return true;
        };
        let share = self.shares.entry(owner.clone());
        let share = share.or_insert_with(|| AdmittedShare::new(rank, chance));
        share.try_admit(rank, fraction)
    }

    /// Returns the fraction of the requests for an owner's keys that may be sent; `None` if all may.
    #[must_use]
    pub fn fraction(&self, now: MonoTime, owner: &Owner) -> Option<f64> {
        let fraction = self.fractions.get(owner).copied();
        fraction.filter(|_| self.is_valid(now))
    }

    /// Returns the number of owners that get only a part of their requests.
    #[must_use]
    pub fn count(&self, now: MonoTime) -> usize {
        if self.is_valid(now) {
            self.fractions.len()
        } else {
            0
        }
    }

    fn is_valid(&self, now: MonoTime) -> bool {
        now < self.replaced_at + VALIDITY
    }

    /// Keeps only what is known of these owners.
    pub fn retain(&mut self, is_known: impl Fn(&Owner) -> bool) {
        self.fractions.retain(|owner, _| is_known(owner));
        self.shares.retain(|owner, _| is_known(owner));
    }
}
