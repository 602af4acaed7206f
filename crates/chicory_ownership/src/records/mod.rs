//! What processes and backend servers say of themselves.

mod entry_record;
mod server_record;

pub use entry_record::EntryRecord;
pub use server_record::ServerRecord;
