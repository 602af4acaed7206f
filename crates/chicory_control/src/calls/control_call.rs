//! A call from another process or an operator.

use chicory_ownership::{ClaimRequest, ClaimResolution, Claimant, RenewRequest, ZoneSyncRequest};
use chicory_types::{OrderKey, ServerId, ServiceName};
use serde::{Deserialize, Serialize};

use crate::{FormationRequest, OperatorCall};

/// A call from another process or an operator.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ControlCall {
    /// An entry process renews its lease.
    Renew(RenewRequest),
    /// An entry process claims the right to run an order.
    Claim(ClaimRequest),
    /// An entry process reports how an order ended.
    ResolveClaim {
        /// The service.
        service: ServiceName,
        /// The order key.
        order_key: OrderKey,
        /// The process that held the claim.
        claimant: Claimant,
        /// How the order ended.
        resolution: ClaimResolution,
    },
    /// An entry process reports that a backend server crashed.
    ReportCrash {
        /// The server.
        server: ServerId,
        /// Fingerprints of the requests that it was running.
        fingerprints: Vec<u64>,
        /// Whether there is only one suspect request, and it was running alone.
        was_alone: bool,
    },
    /// The leader of a zone's group synchronizes with the global group.
    ZoneSync(ZoneSyncRequest),
    /// A process without state of its zone's group, or without a leader there, asks whether to
    /// join, form or leave a group.
    AskFormation(FormationRequest),
    /// An operator's call.
    Operator(OperatorCall),
}
