//! The entry process, which accepts requests of callers, relays them between VMs and dispatches
//! them to backend servers.
//!
//! [`EntryProcess`] is the I/O code around the reducer
//! [`RequestPath`](chicory_dispatch::RequestPath). Tasks turn messages received over HTTP and QUIC
//! into events, one loop passes the events to the reducer, and this crate carries out the effects
//! that the reducer returns.

mod admin;
mod announce;
mod answer;
mod caller;
mod command;
mod core_loop;
mod effects;
mod entry_error;
mod entry_process;
mod exchange;
mod forward;
mod inbox;
mod input;
mod links;
mod relay;
mod request_body;
mod request_ids;
mod request_observer;
mod server;
mod server_link_entry;
mod settings;
mod started_answer;
mod write;
mod zone;

pub use caller::{CallerHead, HeadFault, reason_name, refusal_status};
pub use command::command;
pub use entry_error::EntryError;
pub use entry_process::{EntryAddresses, EntryProcess};
pub use settings::EntrySettings;
