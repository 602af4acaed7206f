//! The lease of this process's dispatcher roles.

use std::time::Duration;

use chicory_types::{ClockRateMargin, MonoTime, ViewVersion, VmId};

/// Pause after a renewal that failed.
const FAILURE_PAUSE: Duration = Duration::from_millis(50);
/// Time without an answer after which a renewal counts as failed, in renewal intervals.
const ANSWER_INTERVALS: u32 = 2;

/// A renewal that was sent and not answered.
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

    /// Time left of the lease.
    pub(crate) fn left(&self, now: MonoTime) -> Duration {
        self.held_until
            .map_or(Duration::ZERO, |end| end.saturating_sub(now))
    }

    /// Gives an ended lease up; true once for each end.
    pub(crate) fn end_if_over(&mut self, now: MonoTime) -> bool {
        let is_over = self.held_until.is_some_and(|end| now >= end);
        if is_over {
            self.held_until = None;
        }
        is_over
    }

    /// Whether a renewal has to be sent now.
    pub(crate) fn is_due(&self, now: MonoTime) -> bool {
        !self.is_superseded && now >= self.next_at && !self.is_waiting(now)
    }

    fn is_waiting(&self, now: MonoTime) -> bool {
        self.pending.is_some_and(|p| now < self.answer_limit(p))
    }

    fn answer_limit(&self, pending: PendingRenewal) -> MonoTime {
        pending.sent_at + self.interval * ANSWER_INTERVALS
    }

    /// Asks for a renewal as soon as the pending one is answered.
    pub(crate) fn hurry(&mut self, now: MonoTime) {
        self.next_at = self.next_at.min(now);
    }

    pub(crate) fn sent(&mut self, now: MonoTime, known_view: ViewVersion) {
        if self.pending.is_some() {
            self.leader = None;
        }
        self.pending = Some(PendingRenewal {
            sent_at: now,
            known_view,
        });
        self.next_at = now + self.interval;
    }

    /// Takes the pending renewal off, where this answer is its answer.
    ///
    /// `sent_at` was read when the effect was carried out, so it is not before the moment at which
    /// the effect was returned; renewals given up were all sent before that.
    pub(crate) fn take_pending(&mut self, sent_at: MonoTime) -> Option<PendingRenewal> {
        self.pending.take_if(|pending| sent_at >= pending.sent_at)
    }

    pub(crate) fn granted(&mut self, sent_at: MonoTime, lease: Duration, from: VmId) {
        let end = ClockRateMargin::holder_end(sent_at, lease);
        self.held_until = Some(self.held_until.map_or(end, |held| held.max(end)));
        self.leader = Some(from);
    }

    /// Goes on to `leader` at once, or to any member after a pause.
    pub(crate) fn redirected(&mut self, leader: Option<VmId>, from: &VmId, now: MonoTime) {
        let is_news = leader.as_ref().is_some_and(|named| named != from);
        self.leader = leader.filter(|_| is_news);
        self.next_at = if is_news { now } else { now + FAILURE_PAUSE };
    }

    pub(crate) fn failed(&mut self, now: MonoTime) {
        self.pending = None;
        self.leader = None;
        self.next_at = now + FAILURE_PAUSE;
    }

    /// Gives the lease up for good, since a later start of the same VM is known.
    pub(crate) fn superseded(&mut self) {
        self.held_until = None;
        self.is_superseded = true;
    }

    pub(crate) fn next_wakeup(&self, now: MonoTime) -> Option<MonoTime> {
        let renewal = match self.pending {
            _ if self.is_superseded => None,
            Some(pending) => Some(self.next_at.max(self.answer_limit(pending))),
            None => Some(self.next_at),
        };
        let end = self.held_until.map(|end| end.max(now));
        renewal.into_iter().chain(end).min()
    }
}
