//! The entry process: callers in, relays between VMs, dispatch to backend servers.
//!
//! [`EntryProcess`] is a thin shell round the reducer
//! [`RequestPath`](chicory_dispatch::RequestPath): tasks turn what comes in over HTTP and QUIC into
//! events, one loop feeds them to the reducer, and its effects are carried out here.

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
