//! The HTTP protocol towards callers.

mod answer_response;
mod caller_handler;
mod caller_head;
mod head_fault;
mod headers;
mod reason_name;
mod refusal_body;

pub(crate) use answer_response::response_of;
pub(crate) use caller_handler::CallerHandler;
pub use caller_head::CallerHead;
pub use head_fault::HeadFault;
pub(crate) use headers::{
    CHICORY_DEADLINE_MS, CHICORY_OUTCOME, CHICORY_REASON, CHICORY_REFUSED, CHICORY_REQUEST_ID,
    CHICORY_RETRY_AFTER_MS, CHICORY_SLOT, CHICORY_TOKEN, strip_hop_by_hop, strip_internal,
};
pub use reason_name::{reason_name, refusal_status};
