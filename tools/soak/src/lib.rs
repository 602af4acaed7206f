//! Runs the platform's programs as processes on loopback, injects faults from outside, and checks
//! the promises by what callers, backend servers and operators see.
//!
//! Everything random follows from a seed; `docs/soak.md` tells how to play one again.

mod addresses;
mod calm;
mod cluster;
mod fault;
mod fleet;
mod inflict;
mod key_promises;
mod link_source;
mod load;
mod operators;
mod options;
mod plan;
mod promises;
mod proxy;
mod proxy_rules;
mod request_promises;
mod run;
mod soak_error;
mod table_promises;
mod verdict;
mod vm_process;

pub use calm::Calm;
pub use key_promises::KeyPromises;
pub use options::Options;
pub use plan::Plan;
pub use request_promises::RequestPromises;
pub use run::Run;
pub use soak_error::SoakError;
pub use table_promises::TablePromises;
pub use verdict::Verdict;
