//! Announcements of backend servers.

mod announce_handler;
mod announce_message;

pub(crate) use announce_handler::AnnounceHandler;
