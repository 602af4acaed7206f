//! A small deployment on loopback addresses.

mod cluster;
mod deployment_size;
mod operator;
mod ports;
mod process_args;
mod standins;
mod vm;

pub use cluster::Cluster;
pub use deployment_size::DeploymentSize;
pub use operator::Operator;
pub use process_args::KEEP_FILES_VARIABLE;
pub use standins::{StandinConfig, StandinGroup};
pub use vm::{Role, Vm};
