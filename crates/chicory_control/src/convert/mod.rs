//! Conversions between the reducer's types and messages.

mod call;
mod formation;
mod operator;
mod reply;

pub use call::call_of;
pub(crate) use formation::formation_record;
pub use formation::{formation_answer_of, formation_request_message};
pub use reply::reply_message;
