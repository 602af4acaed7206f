//! Messages between the leader of a zone group and the leader of the global group.

mod zone_directory;
mod zone_sync_answer;
mod zone_sync_refusal;
mod zone_sync_request;

pub use zone_directory::ZoneDirectory;
pub use zone_sync_answer::ZoneSyncAnswer;
pub use zone_sync_refusal::ZoneSyncRefusal;
pub use zone_sync_request::ZoneSyncRequest;
