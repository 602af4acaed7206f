//! Handles the outcomes of calls to servers.

use chicory_types::MonoTime;

use super::{GrantCoordinator, RangeStart};
use crate::fence_link::FenceLink;
use crate::range_grant::RangeGrant;
use crate::{CallId, CallOutcome, GrantEffect};

impl GrantCoordinator {
    pub(super) fn on_call_ended(&mut self, now: MonoTime, call: CallId, outcome: CallOutcome) {
        let Some(start) = self.calls.remove(&call) else {
            return;
        };
        let Some(mut grant) = self.grants.remove(&start) else {
            return;
        };
        let Some(pending_call) = grant.call.take_if(|pending_call| pending_call.id == call) else {
            // The call was about an earlier grant of the keys and says nothing about this one.
            self.grants.insert(start, grant);
            return;
        };
        let owner = grant.owned.owner.clone();
        let is_broken = matches!(
            outcome,
            CallOutcome::Unanswered
                | CallOutcome::Unreachable
                | CallOutcome::ConnectionRefused
                | CallOutcome::OtherServer
        );
        if is_broken {
            self.known_running.remove(&owner);
        }
        if pending_call.is_release {
            self.on_release_ended(now, &mut grant, outcome);
        } else {
            self.on_grant_ended(now, &start, &mut grant, &outcome);
        }
        self.grants.insert(start, grant);
    }

    fn on_grant_ended(
        &mut self,
        now: MonoTime,
        start: &RangeStart,
        grant: &mut RangeGrant,
        outcome: &CallOutcome,
    ) {
        let grant_expiry = now + self.config.grant_expiry();
        grant.due_at = now + self.config.retry_interval;
        match outcome {
            CallOutcome::Done { link, .. } => {
                grant.is_granted = true;
                grant.link = link.map_or(FenceLink::Lost, FenceLink::Only);
                grant.answered_at = Some(now);
                grant.confirmed_until = grant_expiry;
                // The server has seen this fence and ignores calls under a smaller one from now on.
                if grant.is_own_fence {
                    grant.older_grants_until = now;
                }
                grant.due_at = now + self.config.renewal_interval;
            }
            CallOutcome::Unanswered => {
                grant.unconfirmed_until = grant.unconfirmed_until.max(grant_expiry);
                grant.link = FenceLink::Lost;
            }
            // The server may well be running: servers close idle connections.
            CallOutcome::LinkLost => {
                grant.link = FenceLink::Lost;
                grant.due_at = now;
            }
            // The server has seen a fence above the registry's and accepts only greater ones.
            CallOutcome::Fenced => {
                grant.is_refencing = true;
                self.effects
                    .push(GrantEffect::Propose(grant.refencing_move(&start.0)));
            }
            CallOutcome::Rejected
            | CallOutcome::Unreachable
            | CallOutcome::ConnectionRefused
            | CallOutcome::OtherServer => {}
        }
    }

    fn on_release_ended(&mut self, now: MonoTime, grant: &mut RangeGrant, outcome: CallOutcome) {
        grant.due_at = now + self.config.retry_interval;
        let Some(pending) = &mut grant.pending_transfer else {
            return;
        };
        match outcome {
            CallOutcome::Done { handover, .. } => {
                pending.is_released = true;
                pending.handover = handover;
                grant.due_at = now;
            }
            // The process that held the keys has ended, and grants name their server.
            CallOutcome::OtherServer => grant.set_free(now),
            _ => {}
        }
    }
}
