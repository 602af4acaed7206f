//! Tells requests that crash their server from answers that were merely lost.

use std::time::Duration;

use chicory_directory::{PoisonReport, RequestFingerprint};
use chicory_ranges::ServerIncarnation;
use chicory_types::MonoTime;

use super::AttemptOutcome;

/// Time within which the end of a server shows after it broke a request off.
const CONFIRMATION_TIME: Duration = Duration::from_secs(5);
/// Suspects and reports that are kept at most.
const MAX_KEPT: usize = 64;

#[derive(Clone, Debug)]
struct Suspect {
    fingerprint: RequestFingerprint,
    incarnation: ServerIncarnation,
    broken_at: MonoTime,
}

/// Requests whose server broke off, until it is known whether the server has ended with them.
///
/// A server that goes on answering was not crashed. One that refuses connections, or that has
/// started again, was.
#[derive(Clone, Debug, Default)]
pub(crate) struct CrashWatch {
    suspects: Vec<Suspect>,
    reports: Vec<PoisonReport>,
}

impl CrashWatch {
    /// Takes in the end of an attempt.
    pub(crate) fn note_end(
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
                if let Some(fingerprint) = fingerprint.filter(|_| self.suspects.len() < MAX_KEPT) {
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
            | AttemptOutcome::WrongServer => {
                self.suspects.retain(|s| s.incarnation != *incarnation)
            }
            AttemptOutcome::Refused | AttemptOutcome::OtherServer => {
                self.confirm(|suspect| suspect.incarnation == *incarnation);
            }
            AttemptOutcome::Unreachable
            | AttemptOutcome::TurnedAway
            | AttemptOutcome::Garbled
            | AttemptOutcome::Silent
            | AttemptOutcome::Cancelled => {}
        }
    }

    /// Takes in that some lives have ended.
    pub(crate) fn note_ended(&mut self, is_running: impl Fn(&ServerIncarnation) -> bool) {
        self.confirm(|suspect| !is_running(&suspect.incarnation));
    }

    /// Reports since the last call.
    pub(crate) fn take_reports(&mut self) -> Vec<PoisonReport> {
        std::mem::take(&mut self.reports)
    }

    fn confirm(&mut self, has_ended: impl Fn(&Suspect) -> bool) {
        for suspect in self.suspects.extract_if(.., |suspect| has_ended(suspect)) {
            if self.reports.len() < MAX_KEPT {
                self.reports.push(PoisonReport {
                    fingerprint: suspect.fingerprint,
                    life: suspect.incarnation,
                });
            }
        }
    }
}
