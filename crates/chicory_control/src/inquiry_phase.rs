//! Which group a process without state asks about its zone's group.

use std::time::Duration;

use chicory_types::{ClockRateMargin, MonoTime};

use crate::FORMATION_REQUEST_TTL;

/// Time for which the other members of the zone are asked, before the global group is.
const ZONE_PHASE_DURATION: Duration = Duration::from_millis(1_500);
/// Time without an answer of the global group after which the process stops asking it. The zone is
/// asked again after a cooldown.
const GLOBAL_ANSWER_TIMEOUT: Duration = Duration::from_secs(1);

/// Which group a process without state asks about its zone's group.
///
/// The other members of the zone know whether the group exists, even while the global group is
/// unreachable. The global group may make a process that sent it a request a founder of a new
/// group. Once the process has sent a request to the global group, it therefore accepts no answer
/// of the zone until the global group no longer counts it as waiting.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum InquiryPhase {
    /// The other members of the zone.
    Zone {
        /// When this phase began.
        since: MonoTime,
    },
    /// The global group.
    Global {
        /// When its leader answered last; before the first answer, when this phase began.
        last_contact_at: MonoTime,
        /// When the last request was sent.
        last_request_at: MonoTime,
    },
    /// No group, until the global group no longer counts this process as waiting.
    Cooldown {
        /// When this phase ends.
        until: MonoTime,
    },
}

impl InquiryPhase {
    /// Returns the phase at `now`.
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

    /// Records an answer of the leader of the global group.
    pub(crate) fn record_contact(&mut self, now: MonoTime) {
        if let Self::Global {
            last_contact_at, ..
        } = self
        {
            *last_contact_at = now;
        }
    }
}

/// Returns the time from which the global group is certain not to count a process whose last
/// request was sent at `last_request_at`.
///
/// A request counts for [`FORMATION_REQUEST_TTL`] after it is received. It may have been in
/// transfer for as long before, so the time is doubled. The margin allows for different clock rates
/// of the two VMs.
fn cooldown_end(last_request_at: MonoTime) -> MonoTime {
    ClockRateMargin::lease_expiry_for_grantor(last_request_at, FORMATION_REQUEST_TTL * 2)
}
