//! How current the directory of an entry VM is.

use std::time::Duration;

use chicory_directory::LinkStatus;
use chicory_routes::RouteTableVersion;
use chicory_types::MonoTime;

use super::{Gateway, Policy};

/// Time without contact to a majority of control VMs after which other entry VMs serve callers
/// better: two reports and a margin. The balancer removes a VM only after it was unready at two
/// checks, a second apart, so an election does not redirect callers.
const MAX_READY_CONTACT_AGE: Duration = Duration::from_millis(800);

impl Gateway {
    /// Whether requests can be served, which takes a route table.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        self.directory.routes().version > 0
    }

    /// Whether this entry VM has a route table and is in contact with a majority of control VMs.
    /// Without that contact it does not learn which keys move, and it may be cut off from most
    /// servers as well, so callers are better served by other entry VMs.
    ///
    /// An entry VM without a path to servers stays ready: others relay its requests. Balancers take
    /// seconds to send callers elsewhere, and if many entry VMs were cut off, the others would get
    /// all their callers.
    #[must_use]
    pub fn is_ready_and_in_contact(&self, now: MonoTime) -> bool {
        let contact_age = self.contact_age(now);
        let has_contact = contact_age.is_some_and(|age| age <= MAX_READY_CONTACT_AGE);
        self.is_ready() && (has_contact || !self.config.is_enabled(Policy::Readiness))
    }

    /// Returns the time since the last contact to a majority of control VMs.
    #[must_use]
    pub fn contact_age(&self, now: MonoTime) -> Option<Duration> {
        self.majority_contact_at.map(|at| now.saturating_sub(at))
    }

    /// Returns the version of the newest route table that is known to be in force. The table itself
    /// may not have arrived yet.
    #[must_use]
    pub fn newest_routes_version(&self) -> RouteTableVersion {
        self.table_lag.newest_version()
    }

    /// Returns the time from the first report of a newer route table until the newest one was
    /// applied, if that lag ended since the last call.
    pub fn take_table_lag(&mut self) -> Option<Duration> {
        self.table_lag.take_last_lag()
    }

    /// Records the status that a control VM reports.
    pub fn record_status(&mut self, now: MonoTime, status: &LinkStatus) {
        if status.is_in_contact {
            self.majority_contact_at = Some(now);
            self.directory.record_contact(now);
            self.entry_count.record(now, status.entry_count);
        }
        // Only a leader reports how many entry VMs follow it.
        if status.entry_count == 0 {
            self.issuer_contact_at = None;
        } else {
            if self.issuer_contact_at.is_none() {
                self.report_all_notices();
            }
            self.issuer_contact_at = Some(now);
        }
        self.poison = status.poison.iter().copied().collect();
        let own_version = self.directory.routes().version;
        let reported_version = status.routes_version;
        self.table_lag
            .record_reported(now, reported_version, status.is_in_contact, own_version);
    }
}
