//! Requests that were in flight when a backend server crashed.

use std::collections::BTreeMap;
use std::time::Duration;

use chicory_types::MonoTime;

use crate::limits::CrashSuspicion;

/// Number of crashes after which a fingerprint is refused.
pub(crate) const MAX_CRASHES: u32 = 2;
/// Maximum number of remembered fingerprints.
const MAX_SUSPECTS: usize = 1_024;
/// How long a fingerprint is remembered after its last crash.
const SUSPECT_RETENTION: Duration = Duration::from_mins(10);

#[derive(Clone, Copy, Debug)]
struct Suspect {
    crashes: u32,
    last_at: MonoTime,
}

/// Fingerprints that were in flight when a backend server crashed.
///
/// A suspect runs alone on its next try. So a second crash has a single suspect, and a request that
/// did not cause the crash is cleared by its first complete answer.
#[derive(Clone, Debug, Default)]
pub(crate) struct CrashSuspects {
    suspects: BTreeMap<u64, Suspect>,
}

impl CrashSuspects {
    pub(crate) fn suspicion(&self, fingerprint: u64) -> CrashSuspicion {
        match self.suspects.get(&fingerprint).map(|s| s.crashes) {
            None => CrashSuspicion::None,
            Some(crashes) if crashes < MAX_CRASHES => CrashSuspicion::Isolate,
            Some(_) => CrashSuspicion::Refuse,
        }
    }

    /// Records that a request was in flight during a crash.
    ///
    /// A request that ran beside others is at most isolated: only a crash while it runs alone leads
    /// to its refusal.
    pub(crate) fn record_crash(&mut self, fingerprint: u64, was_alone: bool, now: MonoTime) {
        let suspect = self.suspects.entry(fingerprint).or_insert(Suspect {
            crashes: 0,
            last_at: now,
        });
        suspect.last_at = now;
        let limit = if was_alone { MAX_CRASHES } else { 1 };
        suspect.crashes = (suspect.crashes + 1).min(limit.max(suspect.crashes));
        self.evict_oldest();
    }

    pub(crate) fn clear_suspicion(&mut self, fingerprint: u64) {
        if !self.suspects.is_empty() {
            self.suspects.remove(&fingerprint);
        }
    }

    pub(crate) fn forget_old(&mut self, now: MonoTime) {
        self.suspects
            .retain(|_, suspect| now < suspect.last_at + SUSPECT_RETENTION);
    }

    fn evict_oldest(&mut self) {
        while self.suspects.len() > MAX_SUSPECTS {
            let oldest = self.suspects.iter().min_by_key(|(_, s)| s.last_at);
            let Some(fingerprint) = oldest.map(|(f, _)| *f) else {
                return;
            };
            self.suspects.remove(&fingerprint);
        }
    }
}
