//! Requests that crash the backend servers that run them.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use chicory_directory::{PoisonReport, RequestFingerprint};
use chicory_ranges::ServerIncarnation;
use chicory_types::MonoTime;

/// Servers that have to break off the same request before it is held back; one may be chance.
const CRASHES_TO_POISON: usize = 2;
/// Time for which a request is held back after its last crash.
const POISON_TIME: Duration = Duration::from_mins(2);
/// Time within which crashes count together.
const CRASH_MEMORY: Duration = Duration::from_secs(30);
/// Requests that are remembered at most.
const MAX_SUSPECTS: usize = 1024;

#[derive(Clone, Debug)]
struct Suspect {
    incarnations: BTreeSet<ServerIncarnation>,
    last_crash_at: MonoTime,
}

/// Counts crashes by request; entry VMs report them, and learn which requests to hold back.
#[derive(Clone, Debug, Default)]
pub(crate) struct PoisonBook {
    suspects: BTreeMap<RequestFingerprint, Suspect>,
}

impl PoisonBook {
    /// Takes in a report; whether the request is to be held back from now on.
    pub(crate) fn report(&mut self, now: MonoTime, report: PoisonReport) -> bool {
        self.forget_old(now);
        if self.suspects.len() >= MAX_SUSPECTS && !self.suspects.contains_key(&report.fingerprint) {
            return false;
        }
        let suspect = self
            .suspects
            .entry(report.fingerprint)
            .or_insert_with(|| Suspect {
                incarnations: BTreeSet::new(),
                last_crash_at: now,
            });
        suspect.last_crash_at = now;
        let is_new = suspect.incarnations.insert(report.life);
        is_new && suspect.incarnations.len() == CRASHES_TO_POISON
    }

    /// Requests that are held back.
    pub(crate) fn poison(&self) -> Vec<RequestFingerprint> {
        let suspects = self.suspects.iter();
        let poison =
            suspects.filter(|(_, suspect)| suspect.incarnations.len() >= CRASHES_TO_POISON);
        poison.map(|(fingerprint, _)| *fingerprint).collect()
    }

    fn forget_old(&mut self, now: MonoTime) {
        self.suspects.retain(|_, suspect| {
            let is_poison = suspect.incarnations.len() >= CRASHES_TO_POISON;
            let memory = if is_poison { POISON_TIME } else { CRASH_MEMORY };
            now < suspect.last_crash_at + memory
        });
    }
}
