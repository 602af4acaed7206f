//! Order claims of an availability zone.

mod claim_book;
mod claim_record;

pub(crate) use claim_book::millis;
pub use claim_book::{
    CLAIM_IN_PROGRESS_LIMIT, CLAIM_RETENTION, ClaimBook, MAX_CLAIMS, MAX_STORED_BODY_BYTES,
};
pub use claim_record::{ClaimRecord, ClaimState};
