//! Conversions between the reducer's types and messages.

mod call;
mod formation;
mod operator;
mod reply;

pub use call::call_from_message;
pub(crate) use formation::formation_record;
pub use formation::{formation_answer_from_message, formation_request_message};
pub use reply::reply_message;
