//! Groups of several members in virtual time.

mod elections;
mod harness;
mod image;
mod node;
mod open_membership;
mod repairs;
mod schedules;
mod snapshots;
