//! The answer to a call.

use chicory_ownership::{ClaimAnswer, RenewAnswer, ZoneSyncAnswer};

use crate::{Acknowledgement, FormationAnswer, OperatorReply};

/// The answer to a call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ControlReply {
    /// To a renewal.
    Renew(RenewAnswer),
    /// To a claim.
    Claim(ClaimAnswer),
    /// To the end of a claim or to the report of a crash.
    Acknowledged(Acknowledgement),
    /// To a zone's sync.
    ZoneSync(ZoneSyncAnswer),
    /// To a member without memory.
    Formation(FormationAnswer),
    /// To an operator.
    Operator(OperatorReply),
    /// The caller's certificate doesn't allow the call.
    NotAllowed,
    /// This process answers no such call.
    WrongProcess,
}
