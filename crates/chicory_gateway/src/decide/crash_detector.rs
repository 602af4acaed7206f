//! Distinguishes requests that crash their server from requests whose answer was merely lost.

use std::time::Duration;

use chicory_directory::{PoisonReport, RequestFingerprint};
use chicory_ranges::ServerIncarnation;
use chicory_types::MonoTime;

use super::AttemptOutcome;

/// Time after a broken attempt within which the end of its server is attributed to the request.
const CONFIRMATION_TIME: Duration = Duration::from_secs(5);
/// Maximum number of suspects and of reports that are kept.
const MAX_ENTRIES: usize = 64;

#[derive(Clone, Debug)]
struct Suspect {
    fingerprint: RequestFingerprint,
    incarnation: ServerIncarnation,
    broken_at: MonoTime,
}

/// Detects requests that crash their server.
///
/// A request becomes a suspect when its connection breaks, and stays one until it is known whether
/// the server has ended as well. A server that goes on answering has not crashed. A server that
/// refuses connections, or that has started again, has.
#[derive(Clone, Debug, Default)]
pub(crate) struct CrashDetector {
    suspects: Vec<Suspect>,
    reports: Vec<PoisonReport>,
}

impl CrashDetector {
    /// Records the outcome of an attempt.
    pub(crate) fn record_outcome(
        &mut self,
        now: MonoTime,
        fingerprint: Option<RequestFingerprint>,
        incarnation: &ServerIncarnation,
        outcome: AttemptOutcome,
    ) {
        self.suspects
            .retain(|suspect| now < suspect.broken_at + CONFIRMATION_TIME);
        match outcome {
            AttemptOutcome::Broken => {
                if let Some(fingerprint) = fingerprint.filter(|_| self.suspects.len() < MAX_ENTRIES)
                {
                    self.suspects.push(Suspect {
                        fingerprint,
                        incarnation: incarnation.clone(),
                        broken_at: now,
                    });
                }
            }
            AttemptOutcome::Answered
            | AttemptOutcome::Failed
            | AttemptOutcome::Shed
            | AttemptOutcome::WrongServer => self
                .suspects
                .retain(|suspect| suspect.incarnation != *incarnation),
            AttemptOutcome::Refused | AttemptOutcome::OtherServer => {
                self.confirm(|suspect| suspect.incarnation == *incarnation);
            }
            AttemptOutcome::Unreachable
            | AttemptOutcome::ConnectionRejected
            | AttemptOutcome::Withheld
            | AttemptOutcome::RelayUnavailable
            | AttemptOutcome::RefusedByRelay
            | AttemptOutcome::UnreachableFromRelay
            | AttemptOutcome::RelayBroken
            | AttemptOutcome::Garbled
            | AttemptOutcome::Silent
            | AttemptOutcome::Cancelled => {}
        }
    }

    /// Records that some incarnations have ended: those for which `is_running` returns `false`.
    pub(crate) fn record_ended_incarnations(
        &mut self,
        is_running: impl Fn(&ServerIncarnation) -> bool,
    ) {
        self.confirm(|suspect| !is_running(&suspect.incarnation));
    }

    /// Discards all suspects, and all reports that were not taken yet, at some incarnations.
    pub(crate) fn discard(&mut self, is_discarded: impl Fn(&ServerIncarnation) -> bool) {
        self.suspects
            .retain(|suspect| !is_discarded(&suspect.incarnation));
        self.reports.retain(|report| !is_discarded(&report.life));
    }

    /// Returns the reports that were added since the last call.
    pub(crate) fn take_reports(&mut self) -> Vec<PoisonReport> {
        std::mem::take(&mut self.reports)
    }

    fn confirm(&mut self, has_ended: impl Fn(&Suspect) -> bool) {
        for suspect in self.suspects.extract_if(.., |suspect| has_ended(suspect)) {
            if self.reports.len() < MAX_ENTRIES {
                self.reports.push(PoisonReport {
                    fingerprint: suspect.fingerprint,
                    life: suspect.incarnation,
                });
            }
        }
    }
}
