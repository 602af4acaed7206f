//! Whom a process without memory asks about its zone's group.

use std::time::Duration;

use chicory_types::{ClockRateMargin, MonoTime};

use crate::FORMATION_MARK_LIMIT;

/// How long the other members of the zone are asked before the global group is.
const ZONE_SPAN: Duration = Duration::from_millis(1_500);
/// Silence of the global group after which the zone is asked again.
const GLOBAL_SILENCE: Duration = Duration::from_secs(1);

/// Whom a process without memory asks about its zone's group.
///
/// The members of the zone know whether the group lives also while the global group can't be
/// reached. The global group counts who asked it among those who may form a new group, so after the
/// last question to it the process joins no group on the word of the zone until it no longer counts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Inquiry {
    /// The other members of the zone.
    Zone {
        /// Since when.
        since: MonoTime,
    },
    /// The global group.
    Global {
        /// When its leader answered last, or when it was first asked.
        heard_at: MonoTime,
        /// When it was asked last.
        asked_at: MonoTime,
    },
    /// Nobody, until the global group no longer counts this process.
    Bound {
        /// Until when.
        until: MonoTime,
    },
}

impl Inquiry {
    /// The inquiry that follows at `now`.
    pub(crate) fn after(self, now: MonoTime) -> Self {
        match self {
            Self::Zone { since } if now >= since + ZONE_SPAN => Self::Global {
                heard_at: now,
                asked_at: now,
            },
            Self::Global { heard_at, asked_at } if now >= heard_at + GLOBAL_SILENCE => {
                Self::Bound {
                    until: uncounted_from(asked_at),
                }
            }
            Self::Bound { until } if now >= until => Self::Zone { since: now },
            same => same,
        }
    }

    /// Notes that the leader of the global group answered.
    pub(crate) fn note_answer(&mut self, now: MonoTime) {
        if let Self::Global { heard_at, .. } = self {
            *heard_at = now;
        }
    }
}

/// From when on the global group surely doesn't count a process that asked it at `asked_at`: the
/// question may have been on its way for as long as it counts.
fn uncounted_from(asked_at: MonoTime) -> MonoTime {
    ClockRateMargin::grantor_end(asked_at, FORMATION_MARK_LIMIT * 2)
}
