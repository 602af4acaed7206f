//! The directory: routes, backend servers and owners of key ranges, which control VMs replicate and
//! send to entry VMs.
//!
//! These are the domain types that the links between processes carry; `chicory_wire` converts them
//! to and from messages. A directory version is the log index of the last entry that the directory
//! reflects, so versions of different control VMs can be compared.

mod admitted_fraction;
mod cold_servers;
mod command_outcome;
mod control_message;
mod directory_position;
mod directory_update;
mod ended_server;
mod entry_message;
mod entry_report;
mod link_hello;
mod link_status;
mod moves_change;
mod moves_history;
mod moving_range;
mod peer_envelope;
mod relay_peer;
mod route_history;
mod server_limit_update;
mod server_record;
mod server_removal;
mod server_shares;
mod server_state;
mod service_ranges;
mod site_answer;
mod site_call;
mod site_command;
mod site_state;
mod stated_load;

pub use admitted_fraction::AdmittedFraction;
pub use command_outcome::CommandOutcome;
pub use control_message::ControlMessage;
pub use directory_position::DirectoryPosition;
pub use directory_update::{DirectoryUpdate, DirectoryVersion};
pub use ended_server::EndedServer;
pub use entry_message::EntryMessage;
pub use entry_report::{
    EntryReport, KeyCount, PoisonReport, RequestFingerprint, ServerLoad, ServerRest,
};
pub use link_hello::LinkHello;
pub use link_status::LinkStatus;
pub use moves_change::MovesChange;
pub use moves_history::{MovesHistory, MovesVersion};
pub use moving_range::MovingRange;
pub use peer_envelope::{PeerEnvelope, SiteCallId};
pub use relay_peer::RelayPeer;
pub use route_history::RouteHistory;
pub use server_limit_update::{PermitAnswer, PermitRequest, ReportedLimit, ServerLimitUpdate};
pub use server_record::ServerRecord;
pub use server_removal::{RemovalCause, ServerRemoval};
pub use server_shares::{ServerShare, ServiceShares};
pub use server_state::ServerState;
pub use service_ranges::ServiceRanges;
pub use site_answer::SiteAnswer;
pub use site_call::SiteCall;
pub use site_command::SiteCommand;
pub use site_state::{SiteState, Versioned};
pub use stated_load::StatedLoad;
