//! Whom a process without memory asks about its zone's group.

use std::time::Duration;

use chicory_types::{ClockRateMargin, MonoTime};

use crate::FORMATION_REQUEST_TTL;

/// How long the other members of the zone are asked before the global group is.
const ZONE_PHASE_DURATION: Duration = Duration::from_millis(1_500);
/// Silence of the global group after which the zone is asked again.
const GLOBAL_ANSWER_TIMEOUT: Duration = Duration::from_secs(1);

/// Whom a process without memory asks about its zone's group.
///
/// The members of the zone know whether the group lives also while the global group can't be
/// reached. The global group counts who asked it among those who may form a new group, so after the
/// last question to it the process joins no group on the word of the zone until it no longer counts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum InquiryPhase {
    /// The other members of the zone.
    Zone {
        /// Since when.
        since: MonoTime,
    },
    /// The global group.
    Global {
        /// When its leader answered last, or when it was first asked.
        last_contact_at: MonoTime,
        /// When it was asked last.
        last_request_at: MonoTime,
    },
    /// Nobody, until the global group no longer counts this process.
    Cooldown {
        /// Until when.
        until: MonoTime,
    },
}

impl InquiryPhase {
    /// The inquiry that follows at `now`.
    pub(crate) fn advance(self, now: MonoTime) -> Self {
        match self {
            Self::Zone { since } if now >= since + ZONE_PHASE_DURATION => Self::Global {
                last_contact_at: now,
                last_request_at: now,
            },
            Self::Global {
                last_contact_at,
                last_request_at,
            } if now >= last_contact_at + GLOBAL_ANSWER_TIMEOUT => Self::Cooldown {
                until: cooldown_end(last_request_at),
            },
            Self::Cooldown { until } if now >= until => Self::Zone { since: now },
            unchanged => unchanged,
        }
    }

    /// Notes that the leader of the global group answered.
    pub(crate) fn record_contact(&mut self, now: MonoTime) {
        if let Self::Global {
            last_contact_at, ..
        } = self
        {
            *last_contact_at = now;
        }
    }
}

/// From when on the global group surely doesn't count a process that asked it at `last_request_at`: the
/// question may have been on its way for as long as it counts.
fn cooldown_end(last_request_at: MonoTime) -> MonoTime {
    ClockRateMargin::grantor_end(last_request_at, FORMATION_REQUEST_TTL * 2)
}
