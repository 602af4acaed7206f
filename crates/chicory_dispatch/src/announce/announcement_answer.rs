//! The answer to an announcement.

use std::time::Duration;

use crate::GrantedRun;

/// The answer to an announcement.
///
/// The grants hold for `lease`, which the server counts from before it sent the announcement.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AnnouncementAnswer {
    /// Time until the server should announce itself again.
    pub renew_after: Duration,
    /// Host and port of the dispatcher, to which the next announcement should be sent.
    pub dispatcher_address: Option<String>,
    /// Length of the lease on the grants; zero from a process that isn't the server's dispatcher.
    pub lease: Duration,
    /// Version of the grants.
    pub grants_version: u64,
    /// All grants; `None` if the server has this version already.
    pub grants: Option<Vec<GrantedRun>>,
}
