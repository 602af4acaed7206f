//! Stored order claims of an availability zone.

mod claim_record;
mod claim_registry;

pub use claim_record::{ClaimRecord, ClaimState};
pub(crate) use claim_registry::millis;
pub use claim_registry::{
    CLAIM_IN_PROGRESS_LIMIT, CLAIM_RETENTION, ClaimRegistry, MAX_CLAIMS, MAX_STORED_BODY_BYTES,
};
