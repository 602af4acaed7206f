//! A call of another process.

use chicory_ownership::{ClaimRequest, ClaimResolution, Claimant, RenewRequest, ZoneSyncRequest};
use chicory_types::{OrderKey, ServerId, ServiceName};
use serde::{Deserialize, Serialize};

use crate::{FormationRequest, OperatorCall};

/// A call of another process.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ControlCall {
    /// An entry process renews its lease.
    Renew(RenewRequest),
    /// An entry process asks for the right to run an order.
    Claim(ClaimRequest),
    /// An entry process tells how an order ended.
    ResolveClaim {
        /// The service.
        service: ServiceName,
        /// The order key.
        order_key: OrderKey,
        /// Who held the claim.
        claimant: Claimant,
        /// How it ended.
        resolution: ClaimResolution,
    },
    /// An entry process tells that a backend server crashed.
    ReportCrash {
        /// The server.
        server: ServerId,
        /// Fingerprints of the requests that it ran.
        fingerprints: Vec<u64>,
        /// Whether the only suspect ran alone.
        was_alone: bool,
    },
    /// The leader of a zone group synchronises with the global group.
    ZoneSync(ZoneSyncRequest),
    /// A member of a zone group without memory asks what to do.
    AskFormation(FormationRequest),
    /// An operator's call.
    Operator(OperatorCall),
}
