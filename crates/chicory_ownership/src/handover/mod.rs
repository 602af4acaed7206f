//! What one zone hands over to the next one with the custody of slots.

mod custody_handover;
mod custody_release;
mod custody_update;

pub use custody_handover::CustodyHandover;
pub use custody_release::CustodyRelease;
pub use custody_update::CustodyUpdate;
