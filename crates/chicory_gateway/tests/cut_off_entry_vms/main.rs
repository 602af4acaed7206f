//! Tests in virtual time that callers of entry VMs that have lost the network path to the backend
//! servers are served.

mod entry_vm;
mod healing;
mod plan;
mod requests;
mod serving;
mod site;
mod thin_link;
mod thin_links;
mod world;
