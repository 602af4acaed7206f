//! The answer to an announcement.

use std::time::Duration;

use crate::GrantedRun;

/// The answer to an announcement.
///
/// The grants hold for `lease` from before the server sent the announcement.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AnnouncementAnswer {
    /// When to announce again.
    pub renew_after: Duration,
    /// Host and port of the dispatcher, where the next announcement should go.
    pub dispatcher_address: Option<String>,
    /// Length of the grants' lease; zero from a process that isn't the server's dispatcher.
    pub lease: Duration,
    /// Version of the grants.
    pub grants_version: u64,
    /// All grants; `None` where the server has this version already.
    pub grants: Option<Vec<GrantedRun>>,
}
