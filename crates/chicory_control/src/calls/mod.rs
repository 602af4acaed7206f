//! Calls from other processes and operators, and the answers to them.

mod acknowledgement;
mod caller;
mod control_call;
mod control_reply;
mod formation_answer;
mod formation_request;
mod operator_call;
mod operator_failure;
mod operator_reply;
mod owner_summary;
mod server_summary;
mod zone_summary;

/// Identifier of a call in this process.
pub type CallId = u64;

pub use acknowledgement::Acknowledgement;
pub use caller::Caller;
pub use control_call::ControlCall;
pub use control_reply::ControlReply;
pub use formation_answer::FormationAnswer;
pub use formation_request::FormationRequest;
pub use operator_call::OperatorCall;
pub use operator_failure::OperatorFailure;
pub use operator_reply::OperatorReply;
pub use owner_summary::OwnerSummary;
pub use server_summary::ServerSummary;
pub use zone_summary::ZoneSummary;
