//! Messages of order claims, which ensure that an order runs at most once.

mod claim_answer;
mod claim_request;
mod claim_resolution;
mod claimant;
mod stored_answer;

pub use claim_answer::ClaimAnswer;
pub use claim_request::ClaimRequest;
pub use claim_resolution::ClaimResolution;
pub use claimant::Claimant;
pub use stored_answer::StoredAnswer;
