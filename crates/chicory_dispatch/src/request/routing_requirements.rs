//! The requirements of a request on its routing.

use chicory_table::ServicePolicy;
use chicory_types::slot_of_key;

use crate::request::Target;
use crate::server::FlowId;
use crate::{RefusalReason, RequestHead};

/// Queue flow of the requests whose target is not the owner of a slot.
const SHARED_FLOW: FlowId = FlowId::MAX;

/// The requirements of a request on its routing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct RoutingRequirements {
    pub(crate) target: Target,
    /// Whether the request may only run under a claim.
    pub(crate) needs_claim: bool,
}

impl RoutingRequirements {
    /// Derives the requirements, or returns why the request can't be served at all.
    pub(crate) fn of(policy: &ServicePolicy, head: &RequestHead) -> Result<Self, RefusalReason> {
        let needs_claim = !policy.idempotent && !head.is_safe_method;
        if needs_claim && head.order_key.is_none() {
            return Err(RefusalReason::MissingOrderKey);
        }
        let target = Self::target_of(policy, head, needs_claim)?;
        Ok(Self {
            target,
            needs_claim,
        })
    }

    fn target_of(
        policy: &ServicePolicy,
        head: &RequestHead,
        needs_claim: bool,
    ) -> Result<Target, RefusalReason> {
        if policy.keyed {
            let key = head.key.as_deref().ok_or(RefusalReason::MissingKey)?;
            return Ok(Target::Owner(slot_of_key(key)));
        }
        match &head.order_key {
            Some(key) if needs_claim => Ok(Target::Custodian(slot_of_key(key))),
            _ => Ok(Target::Any),
        }
    }

    pub(crate) fn flow(self) -> FlowId {
        match self.target {
            Target::Owner(slot) => FlowId::from(slot),
            Target::Custodian(_) | Target::Any => SHARED_FLOW,
        }
    }
}
