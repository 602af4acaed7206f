//! A small deployment on loopback addresses.

mod cluster;
mod operator;
mod ports;
mod process_args;
mod shape;
mod standins;
mod vm;

pub use cluster::Cluster;
pub use operator::Operator;
pub use process_args::KEEP_FILES_VARIABLE;
pub use shape::Shape;
pub use standins::{StandinGroup, StandinShape};
pub use vm::{Role, Vm};
