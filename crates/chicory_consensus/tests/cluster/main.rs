//! Groups of several members in virtual time.

mod durable_state;
mod elections;
mod harness;
mod membership;
mod node;
mod open_membership;
mod schedules;
mod snapshots;
