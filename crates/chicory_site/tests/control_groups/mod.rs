//! Losses of control VMs that a deployment with ten of them in five availability zones bears.

mod deployment;
mod fault_tolerance;
mod losses;
mod random_losses;
mod spread;
