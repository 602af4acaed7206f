//! Announcements of servers at addresses that other servers have.

use std::collections::BTreeMap;
use std::time::Duration;

use chicory_ranges::ServerIncarnation;
use chicory_types::MonoTime;

/// Shortest time between two announcements of a running server. A network that delayed several
/// announcements of a process delivers them together.
const MIN_REPEAT_TIME: Duration = Duration::from_millis(500);
/// Time after its last announcement for which a claim is remembered.
const MEMORY_TIME: Duration = Duration::from_secs(10);

/// The announcements of one server.
#[derive(Clone, Copy, Debug)]
struct Claim {
    first_at: MonoTime,
    latest_at: MonoTime,
}

/// Announcements of servers at addresses that other servers have.
#[derive(Debug, Default)]
pub(super) struct AddressClaims(BTreeMap<ServerIncarnation, Claim>);

impl AddressClaims {
    /// Records an announcement. Returns whether the server had announced itself before, so that it
    /// still runs.
    pub(super) fn record(&mut self, now: MonoTime, incarnation: &ServerIncarnation) -> bool {
        self.0
            .retain(|_, claim| now < claim.latest_at + MEMORY_TIME);
        let claim = self.0.entry(incarnation.clone()).or_insert(Claim {
            first_at: now,
            latest_at: now,
        });
        claim.latest_at = now;
        now >= claim.first_at + MIN_REPEAT_TIME
    }

    pub(super) fn clear(&mut self) {
        self.0.clear();
    }
}
