//! Tests in virtual time how entry VMs react together to what backend servers state about themselves
//! in answers.

mod backend_server;
mod callers;
mod cold;
mod cold_owners;
mod control_vm;
mod entry_vm;
mod leaving;
mod limits;
mod rests;
mod world;
