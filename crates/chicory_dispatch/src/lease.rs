//! The lease of this process's dispatcher roles.

use std::time::Duration;

use chicory_types::{ClockRateMargin, MonoTime, ViewVersion, VmId};

/// Pause before the next renewal after a failed one.
const FAILURE_PAUSE: Duration = Duration::from_millis(50);
/// Time without an answer after which a renewal is treated as failed, in renewal intervals.
const ANSWER_TIMEOUT_INTERVALS: u32 = 2;

/// A renewal that was sent and is not answered yet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct PendingRenewal {
    pub(crate) sent_at: MonoTime,
    pub(crate) known_view: ViewVersion,
}

/// The lease of this process's dispatcher roles, and when to renew it.
#[derive(Clone, Debug)]
pub(crate) struct Lease {
    interval: Duration,
    held_until: Option<MonoTime>,
    pub(crate) leader: Option<VmId>,
    pending: Option<PendingRenewal>,
    next_at: MonoTime,
    is_superseded: bool,
}

impl Lease {
    pub(crate) fn new(interval: Duration, now: MonoTime) -> Self {
        Self {
            interval,
            held_until: None,
            leader: None,
            pending: None,
            next_at: now,
            is_superseded: false,
        }
    }

    pub(crate) fn is_held(&self, now: MonoTime) -> bool {
        self.held_until.is_some_and(|end| now < end)
    }

    /// Returns the time left of the lease.
    pub(crate) fn time_left(&self, now: MonoTime) -> Duration {
        self.held_until
            .map_or(Duration::ZERO, |end| end.saturating_sub(now))
    }

    /// Drops the lease if it has ended; returns `true` once for each ended lease.
    pub(crate) fn end_if_over(&mut self, now: MonoTime) -> bool {
        let is_over = self.held_until.is_some_and(|end| now >= end);
        if is_over {
            self.held_until = None;
        }
        is_over
    }

    /// Returns whether a renewal has to be sent now.
    pub(crate) fn is_due(&self, now: MonoTime) -> bool {
        !self.is_superseded && now >= self.next_at && !self.is_waiting(now)
    }

    fn is_waiting(&self, now: MonoTime) -> bool {
        self.pending.is_some_and(|p| now < self.answer_deadline(p))
    }

    fn answer_deadline(&self, pending: PendingRenewal) -> MonoTime {
        pending.sent_at + self.interval * ANSWER_TIMEOUT_INTERVALS
    }

    /// Schedules a renewal for now, or for when the pending one is answered.
    pub(crate) fn renew_soon(&mut self, now: MonoTime) {
        self.next_at = self.next_at.min(now);
    }

    pub(crate) fn record_sent(&mut self, now: MonoTime, known_view: ViewVersion) {
        if self.pending.is_some() {
            self.leader = None;
        }
        self.pending = Some(PendingRenewal {
            sent_at: now,
            known_view,
        });
        self.next_at = now + self.interval;
    }

    /// Removes and returns the pending renewal, if an answer with this `sent_at` answers it.
    ///
    /// `sent_at` is the time at which the effect was carried out, so it is not before the time at
    /// which the effect was returned. All renewals that timed out before were sent earlier than
    /// that.
    pub(crate) fn take_pending(&mut self, sent_at: MonoTime) -> Option<PendingRenewal> {
        self.pending.take_if(|pending| sent_at >= pending.sent_at)
    }

    pub(crate) fn granted(&mut self, sent_at: MonoTime, lease: Duration, from: VmId) {
        let end = ClockRateMargin::lease_expiry_for_holder(sent_at, lease);
        self.held_until = Some(self.held_until.map_or(end, |held| held.max(end)));
        self.leader = Some(from);
    }

    /// Schedules the next renewal after a member that isn't the leader has answered.
    ///
    /// It is sent at once if the member named another leader, otherwise to any member after a
    /// pause.
    pub(crate) fn redirected(&mut self, leader: Option<VmId>, from: &VmId, now: MonoTime) {
        let is_other_leader = leader.as_ref().is_some_and(|named| named != from);
        self.leader = leader.filter(|_| is_other_leader);
        self.next_at = if is_other_leader {
            now
        } else {
            now + FAILURE_PAUSE
        };
    }

    pub(crate) fn renewal_failed(&mut self, now: MonoTime) {
        self.pending = None;
        self.leader = None;
        self.next_at = now + FAILURE_PAUSE;
    }

    /// Ends the lease permanently, because a later incarnation of the same VM is known.
    pub(crate) fn mark_superseded(&mut self) {
        self.held_until = None;
        self.is_superseded = true;
    }

    pub(crate) fn next_wakeup(&self, now: MonoTime) -> Option<MonoTime> {
        let renewal = match self.pending {
            _ if self.is_superseded => None,
            Some(pending) => Some(self.next_at.max(self.answer_deadline(pending))),
            None => Some(self.next_at),
        };
        let end = self.held_until.map(|end| end.max(now));
        renewal.into_iter().chain(end).min()
    }
}
