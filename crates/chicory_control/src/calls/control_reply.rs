//! The answer to a call.

use chicory_ownership::{ClaimAnswer, RenewAnswer, ZoneSyncAnswer};

use crate::{Acknowledgement, FormationAnswer, OperatorReply};

/// The answer to a call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ControlReply {
    /// Answer to a renewal.
    Renew(RenewAnswer),
    /// Answer to a claim.
    Claim(ClaimAnswer),
    /// Answer to the end of a claim or to the report of a crash.
    Acknowledged(Acknowledgement),
    /// Answer to a zone's sync request.
    ZoneSync(ZoneSyncAnswer),
    /// Answer to a formation request.
    Formation(FormationAnswer),
    /// Answer to an operator's call.
    Operator(OperatorReply),
    /// The caller's certificate doesn't allow the call.
    NotAllowed,
    /// This process doesn't handle calls of this kind.
    WrongProcess,
}
