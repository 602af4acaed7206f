//! Messages that move the custody of slots from one zone to another.

mod custody_handover;
mod custody_release;
mod custody_update;

pub use custody_handover::CustodyHandover;
pub use custody_release::CustodyRelease;
pub use custody_update::CustodyUpdate;
