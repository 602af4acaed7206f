//! How current the knowledge of an entry VM is.

use std::time::Duration;

use chicory_directory::LinkStatus;
use chicory_routes::RouteTableVersion;
use chicory_types::MonoTime;

use super::{Gateway, Policy};

/// Time without contact to a majority of control VMs after which callers are better served by other
/// entry VMs: two reports and a margin. The balancer takes out a VM that is unready twice, a second
/// apart, so that an election does not turn callers away.
const FIT_CONTACT_AGE: Duration = Duration::from_millis(800);
impl Gateway {
    /// Whether requests can be served: there is a route table.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        self.directory.routes().version > 0
    }

    /// Whether callers are best served by this entry VM: without contact to a majority of the control
    /// VMs it misses the moves of keys, and may be cut off from most servers too.
    #[must_use]
    pub fn is_fit(&self, now: MonoTime) -> bool {
        let contact_age = self.contact_age(now);
        let has_contact = contact_age.is_some_and(|age| age <= FIT_CONTACT_AGE);
        self.is_ready() && (has_contact || !self.config.uses(Policy::Readiness))
    }

    /// Age of the last contact to a majority of control VMs.
    #[must_use]
    pub fn contact_age(&self, now: MonoTime) -> Option<Duration> {
        self.in_contact_at.map(|at| now.saturating_sub(at))
    }

    /// The newest route table that is known to be in force; it may not have come yet.
    #[must_use]
    pub fn newest_routes_version(&self) -> RouteTableVersion {
        self.table_lag.newest_version()
    }

    /// Time from the first word of a newer route table until the newest one was here, if that ended
    /// since the last call.
    pub fn take_table_lag(&mut self) -> Option<Duration> {
        self.table_lag.take_last_lag()
    }

    /// Takes in the state of a control VM.
    pub fn note_status(&mut self, now: MonoTime, status: &LinkStatus) {
        if status.is_in_contact {
            self.in_contact_at = Some(now);
            self.entry_count.note(now, status.entry_count);
        }
        self.poison = status.poison.iter().copied().collect();
        let own_version = self.directory.routes().version;
        let told_version = status.routes_version;
        self.table_lag
            .note_told(now, told_version, status.is_in_contact, own_version);
    }
}
