//! Requests that crash the backend servers that run them.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use chicory_directory::{PoisonReport, RequestFingerprint};
use chicory_ranges::ServerIncarnation;
use chicory_types::MonoTime;

/// Number of servers that must crash while they run the same request before it is held back; a
/// single crash may be a coincidence.
const CRASH_THRESHOLD: usize = 2;
/// Time for which a request is held back after its last crash.
const POISON_RETENTION: Duration = Duration::from_mins(2);
/// Time within which crashes of the same request are counted together.
const CRASH_WINDOW: Duration = Duration::from_secs(30);
/// Largest number of requests that are tracked.
const MAX_SUSPECTS: usize = 1024;

#[derive(Clone, Debug)]
struct Suspect {
    incarnations: BTreeSet<ServerIncarnation>,
    last_crash_at: MonoTime,
}

/// Counts crashes per request. Entry VMs report the crashes, and receive the requests to hold back.
#[derive(Clone, Debug, Default)]
pub(crate) struct PoisonRegistry {
    suspects: BTreeMap<RequestFingerprint, Suspect>,
}

impl PoisonRegistry {
    /// Records a reported crash, and returns whether the request is to be held back from now on.
    pub(crate) fn record_crash(&mut self, now: MonoTime, report: PoisonReport) -> bool {
        self.remove_expired(now);
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
        is_new && suspect.incarnations.len() == CRASH_THRESHOLD
    }

    /// Returns the requests that are held back.
    pub(crate) fn poisoned_requests(&self) -> Vec<RequestFingerprint> {
        let suspects = self.suspects.iter();
        let poisoned =
            suspects.filter(|(_, suspect)| suspect.incarnations.len() >= CRASH_THRESHOLD);
        poisoned.map(|(fingerprint, _)| *fingerprint).collect()
    }

    fn remove_expired(&mut self, now: MonoTime) {
        self.suspects.retain(|_, suspect| {
            let is_poison = suspect.incarnations.len() >= CRASH_THRESHOLD;
            let retention = if is_poison {
                POISON_RETENTION
            } else {
                CRASH_WINDOW
            };
            now < suspect.last_crash_at + retention
        });
    }
}
