//! Refusals: the answers to requests that got no answer from a backend server.

mod outcome;
mod refusal;
mod refusal_reason;

pub use outcome::Outcome;
pub use refusal::Refusal;
pub use refusal_reason::RefusalReason;
