//! The grant of one range to one owner.

use chicory_types::{MonoTime, ServiceName};

use crate::fence_link::FenceLink;
use crate::{CallId, OwnedRange, RangeMove, ServerIncarnation};

/// What a leader tracks of the grant of an owned range, or of a part of one that is in transfer.
#[derive(Clone, Debug)]
pub(crate) struct RangeGrant {
    pub(crate) owned: OwnedRange,
    /// Whether this leader issued the fence, so that no former leader granted keys under it.
    pub(crate) is_own_fence: bool,
    /// Whether the owner is known, or must be assumed, to have been granted the keys.
    pub(crate) is_granted: bool,
    /// When the owner last answered a grant of the range.
    pub(crate) answered_at: Option<MonoTime>,
    /// Until then the owner may hold the keys because of grants that it answered.
    pub(crate) confirmed_until: MonoTime,
    /// Until then the owner holds the keys because of grants under a smaller fence that it answered.
    pub(crate) inherited_until: MonoTime,
    /// Until then a grant under this fence that got no answer may take effect and hold.
    pub(crate) unconfirmed_until: MonoTime,
    /// Until then a grant under a smaller fence or of a former leader may take effect and hold. The
    /// first answer under a fence that only this leader used shows that no older grant can take
    /// effect any more.
    pub(crate) older_grants_until: MonoTime,
    pub(crate) call: Option<PendingCall>,
    pub(crate) link: FenceLink,
    /// When the next call is due.
    pub(crate) due_at: MonoTime,
    /// Whether a move to the same owner under a greater fence is proposed.
    pub(crate) is_refencing: bool,
    pub(crate) pending_transfer: Option<PendingTransfer>,
}

/// A call to the owner that has not ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct PendingCall {
    pub(crate) id: CallId,
    pub(crate) is_release: bool,
}

/// The progress of a range towards its next owner.
#[derive(Clone, Debug)]
pub(crate) struct PendingTransfer {
    /// The next owner.
    pub(crate) to: ServerIncarnation,
    /// Whether the owner has released the keys, or its process has ended.
    pub(crate) is_released: bool,
    /// State for the next owner.
    pub(crate) handover: Option<String>,
    /// Whether the move to the next owner is proposed.
    pub(crate) is_proposed: bool,
    /// Whether the next owner has the address of the owner, which has ended. No other server can
    /// hold the keys, so nothing has to expire before they move.
    pub(crate) is_to_successor: bool,
}

impl PendingTransfer {
    pub(crate) fn new(to: ServerIncarnation) -> Self {
        Self {
            to,
            is_released: false,
            handover: None,
            is_proposed: false,
            is_to_successor: false,
        }
    }

    /// Creates the transfer to the process that has the address of the owner, which has ended.
    pub(crate) fn to_successor(to: ServerIncarnation) -> Self {
        Self {
            is_released: true,
            is_to_successor: true,
            ..Self::new(to)
        }
    }
}

impl RangeGrant {
    /// Returns the moment from which no grant to the owner can still hold.
    pub(crate) fn free_at(&self) -> MonoTime {
        match &self.pending_transfer {
            Some(transfer) if transfer.is_to_successor => MonoTime::ZERO,
            Some(transfer) if transfer.is_released => self.uncertain_until(),
            _ => self.confirmed_until.max(self.uncertain_until()),
        }
    }

    /// Records that the owner has ended and that nobody can hold the keys.
    pub(crate) fn set_free(&mut self, now: MonoTime) {
        self.confirmed_until = now;
        self.unconfirmed_until = now;
        self.older_grants_until = now;
        self.inherited_until = now;
        self.due_at = now;
        if let Some(pending) = &mut self.pending_transfer {
            pending.is_released = true;
        }
    }

    /// Records that the owner has ended and that only `successor` can hold the keys. A transfer to
    /// another server goes to the successor instead, unless the keys are free already.
    pub(crate) fn redirect_transfer(&mut self, now: MonoTime, successor: &ServerIncarnation) {
        let free_at = self.free_at();
        self.due_at = now;
        let Some(pending) = &mut self.pending_transfer else {
            return;
        };
        let is_free = pending.is_released && now >= free_at;
        if !pending.is_proposed && !is_free {
            let handover = pending.handover.take();
            *pending = PendingTransfer {
                handover,
                ..PendingTransfer::to_successor(successor.clone())
            };
        }
    }

    /// Returns the moment from which no grant without an answer can take effect and hold.
    pub(crate) fn uncertain_until(&self) -> MonoTime {
        self.unconfirmed_until.max(self.older_grants_until)
    }

    /// Returns whether no call, transfer or change of the fence is pending.
    pub(crate) fn is_idle(&self) -> bool {
        self.call.is_none() && self.pending_transfer.is_none() && !self.is_refencing
    }

    /// Returns the move that gives the same owner a greater fence.
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

    /// Returns the move that assigns the range to its next owner.
    pub(crate) fn final_move(&self, service: &ServiceName, pending: &PendingTransfer) -> RangeMove {
        RangeMove {
            service: service.clone(),
            range: self.owned.range,
            from: Some(self.owned.owner.clone()),
            to: pending.to.clone(),
            handover: pending.handover.clone(),
        }
    }

    /// Accounts for what the process at the owner's address was granted under a smaller fence and
    /// may still hold. `may_be_owner` tells for another incarnation whether calls to it may have
    /// reached the owner.
    pub(crate) fn inherit<'a>(
        &mut self,
        former_grants: impl Iterator<Item = &'a RangeGrant>,
        may_be_owner: impl Fn(&ServerIncarnation) -> bool,
    ) {
        let range = self.owned.range;
        let owner = self.owned.owner.clone();
        for former in former_grants.filter(|grant| grant.owned.range.overlaps(range)) {
            let is_same = former.owned.owner == owner;
            if !is_same && !may_be_owner(&former.owned.owner) {
                continue;
            }
            let former_grant_until = former.confirmed_until.max(former.uncertain_until());
            self.older_grants_until = self.older_grants_until.max(former_grant_until);
            if is_same {
                let held_until = former.confirmed_until.max(former.inherited_until);
                self.inherited_until = self.inherited_until.max(held_until);
                self.is_granted |= former.is_granted;
            }
        }
    }
}
