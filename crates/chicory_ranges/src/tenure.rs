//! One owner's time with a range.

use chicory_types::{MonoTime, ServiceName};

use crate::{CallId, OwnedRange, RangeMove, ServerIncarnation};

/// What a leader knows of one owned range, or of a part of one that is about to move.
#[derive(Clone, Debug)]
pub(crate) struct Tenure {
    pub(crate) owned: OwnedRange,
    /// Whether the fence was given out in this leadership, so that no former leader granted it.
    pub(crate) is_own: bool,
    /// Whether the owner is known, or must be assumed, to have been granted the keys.
    pub(crate) is_granted: bool,
    /// The owner may hold the keys until then by grants that were answered.
    pub(crate) answered_until: MonoTime,
    /// A grant under this fence without an answer may take effect, and hold, until then.
    pub(crate) unanswered_until: MonoTime,
    /// The same for grants under smaller fences, and for those of former leaders. The first answer
    /// under a fence that only this leader used shows that nothing older can take effect any more.
    pub(crate) older_until: MonoTime,
    pub(crate) call: Option<PendingCall>,
    /// When the next call is due.
    pub(crate) due_at: MonoTime,
    /// A move to the same owner under a greater fence is proposed.
    pub(crate) is_refencing: bool,
    pub(crate) departure: Option<Departure>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct PendingCall {
    pub(crate) id: CallId,
    pub(crate) is_release: bool,
}

/// The way of a range to its next owner.
#[derive(Clone, Debug)]
pub(crate) struct Departure {
    pub(crate) to: ServerIncarnation,
    pub(crate) is_released: bool,
    pub(crate) handover: Option<String>,
    pub(crate) is_proposed: bool,
}

impl Departure {
    pub(crate) fn new(to: ServerIncarnation) -> Self {
        Self {
            to,
            is_released: false,
            handover: None,
            is_proposed: false,
        }
    }
}

impl Tenure {
    /// The moment from which nothing the owner was told can still hold.
    pub(crate) fn free_at(&self) -> MonoTime {
        let is_released = self.departure.as_ref().is_some_and(|d| d.is_released);
        if is_released {
            return self.uncertain_until();
        }
        self.answered_until.max(self.uncertain_until())
    }

    /// The moment from which no grant without an answer can take effect and hold.
    pub(crate) fn uncertain_until(&self) -> MonoTime {
        self.unanswered_until.max(self.older_until)
    }

    /// Whether nothing is under way that has to end first.
    pub(crate) fn is_settled(&self) -> bool {
        self.call.is_none() && self.departure.is_none() && !self.is_refencing
    }

    /// The move that gives the same owner a greater fence.
    pub(crate) fn refencing_move(&self, service: &ServiceName) -> RangeMove {
        let owner = &self.owned.owner;
        RangeMove {
            service: service.clone(),
            range: self.owned.range,
            from: Some(owner.clone()),
            to: owner.clone(),
            handover: None,
        }
    }

    /// The move that ends the tenure.
    pub(crate) fn final_move(&self, service: &ServiceName, departure: &Departure) -> RangeMove {
        RangeMove {
            service: service.clone(),
            range: self.owned.range,
            from: Some(self.owned.owner.clone()),
            to: departure.to.clone(),
            handover: departure.handover.clone(),
        }
    }

    /// The same owner goes on holding what it was granted under a smaller fence.
    pub(crate) fn inherit<'a>(&mut self, past: impl Iterator<Item = &'a Tenure>) {
        let range = self.owned.range;
        let owner = self.owned.owner.clone();
        let own = past.filter(|f| f.owned.owner == owner && f.owned.range.overlaps(range));
        for former in own {
            let former_until = former.answered_until.max(former.uncertain_until());
            self.older_until = self.older_until.max(former_until);
            self.is_granted |= former.is_granted;
        }
    }
}
