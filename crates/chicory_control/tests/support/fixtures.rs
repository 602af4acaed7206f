//! Table policies, entry processes and backend servers for the tests.

use std::collections::BTreeSet;
use std::time::Duration;

use chicory_ownership::{EntryRecord, ServerRecord};
use chicory_table::{CustodyLease, ServicePolicy};
use chicory_types::ZoneName;

/// Returns the policy of a keyed service in these zones.
pub fn policy(zones: BTreeSet<ZoneName>) -> ServicePolicy {
    ServicePolicy {
        weight: 100,
        max_in_flight: 3,
        max_connections: 100,
        queue_limit: 30,
        rate_limit_per_s: 0,
        keyed: true,
        idempotent: true,
        deadline: Duration::from_secs(2),
        custody_lease: CustodyLease::Unlimited,
        zones,
    }
}

/// Returns the record of an entry process.
pub fn entry(vm: &str) -> EntryRecord {
    EntryRecord {
        vm: vm.to_owned(),
        incarnation: 1,
        peer_address: "127.0.0.1:1".to_owned(),
        announce_address: "127.0.0.1:2".to_owned(),
    }
}

/// Returns the record of a backend server.
pub fn server(name: &str, zone: &str) -> ServerRecord {
    ServerRecord {
        server: name.to_owned(),
        service: "archive".to_owned(),
        address: "127.0.0.1:9".to_owned(),
        zone: zone.to_owned(),
        slots: 3,
        connections: 100,
        incarnation: 1,
        checks_grants: true,
        draining: false,
    }
}
