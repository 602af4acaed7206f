//! Lease renewals that every entry process sends to the leader of its zone group.
//!
//! One message carries everything that changes often: the lease for all dispatcher roles of the
//! process, server announcements, released slots, server conditions and slot load. The number of
//! control messages therefore grows with the number of VMs, not of keys, slots or requests.

mod released_slots;
mod renew_answer;
mod renew_refusal;
mod renew_request;
mod server_condition;
mod server_report;
mod slot_heat;
mod view_update;

pub use released_slots::ReleasedSlots;
pub use renew_answer::RenewAnswer;
pub use renew_refusal::RenewRefusal;
pub use renew_request::RenewRequest;
pub use server_condition::ServerCondition;
pub use server_report::ServerReport;
pub use slot_heat::SlotHeat;
pub use view_update::ViewUpdate;
