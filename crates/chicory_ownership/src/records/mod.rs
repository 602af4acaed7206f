//! Records that entry processes and backend servers report about themselves.

mod entry_record;
mod server_record;

pub use entry_record::EntryRecord;
pub use server_record::ServerRecord;
