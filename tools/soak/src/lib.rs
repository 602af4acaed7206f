//! Runs the platform's programs as processes on loopback, injects faults from outside, and checks
//! the platform's guarantees by what callers, backend servers and operators observe.
//!
//! The random faults of a run are generated from its seed; `docs/soak.md` describes how to run a
//! seed again.

mod addresses;
mod clock_ticks;
mod cluster;
mod cold_guarantees;
mod cut_manner;
mod delays;
mod disturbances;
mod entry_cut_guarantees;
mod evacuation_guarantees;
mod evacuations;
mod fault;
mod fault_injection;
mod fault_kind;
mod fleet;
mod guarantees;
mod key_guarantees;
mod link_source;
mod load;
mod machine_usage;
mod not_serving;
mod notice_guarantees;
mod operators;
mod options;
mod plan;
mod process_usage;
mod proxy;
mod proxy_rules;
mod request_guarantees;
mod run;
mod run_log;
mod run_result;
mod server_cuts;
mod soak_error;
mod socket_owner;
mod stall_watch;
mod successor;
mod table_guarantees;
mod unserved_requests;
mod vm_process;

pub use cold_guarantees::ColdGuarantees;
pub use disturbances::{Cut, Disturbances};
pub use entry_cut_guarantees::{EntryCutGuarantees, FirstTry};
pub use evacuation_guarantees::EvacuationGuarantees;
pub use fault_kind::FaultKind;
pub use key_guarantees::KeyGuarantees;
pub use machine_usage::MachineUsage;
pub use notice_guarantees::NoticeGuarantees;
pub use options::Options;
pub use plan::Plan;
pub use process_usage::ProcessUsage;
pub use request_guarantees::RequestGuarantees;
pub use run::Run;
pub use run_result::RunResult;
pub use soak_error::SoakError;
pub use table_guarantees::TableGuarantees;
pub use unserved_requests::UnservedRequests;
