//! Identifiers, time, fencing tokens and key hashing shared by every crate.
//!
//! Several crates use each of these in the interfaces between them, so they are defined in a crate
//! that depends on no other crate of the workspace.

mod boot_clock;
mod clock;
mod clock_rate_margin;
mod fencing_token;
mod ids;
mod key_hash;
mod slot_run;

pub mod prelude;

pub use boot_clock::BootClock;
pub use clock::{Clock, ManualClock, MonoTime, SystemClock};
pub use clock_rate_margin::{CLOCK_RATE_MARGIN_PERCENT, ClockRateMargin};
pub use fencing_token::FencingToken;
pub use ids::{
    ClusterName, EditId, Incarnation, LogIndex, OperatorName, OrderKey, RegionName, RequestId,
    Revision, ServerId, ServiceName, Slot, Term, ViewVersion, VmId, ZoneName,
};
pub use key_hash::{SLOTS_PER_SERVICE, fingerprint_of, fingerprint_of_segments, slot_of_key};
pub use slot_run::SlotRun;
