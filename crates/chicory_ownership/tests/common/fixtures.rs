//! Shared names, records and tables.

use std::time::Duration;

use chicory_ownership::*;
use chicory_table::*;

pub const BOARD: &str = "board";
pub const ARCHIVE: &str = "archive";
pub const ORDERS: &str = "orders";
pub const CUSTODY_LEASE: Duration = Duration::from_secs(6);

pub fn policy(zones: &[&str]) -> ServicePolicy {
    ServicePolicy {
        weight: 100,
        max_in_flight: 0,
        max_connections: 0,
        queue_limit: 10,
        rate_limit_per_s: 0,
        keyed: true,
        idempotent: true,
        deadline: Duration::from_secs(5),
        custody_lease: CustodyLease::Unlimited,
        zones: zones.iter().map(|zone| (*zone).to_owned()).collect(),
    }
}

/// Returns a table with a board (unlimited custody lease), an archive (limited custody lease) and
/// orders (not keyed and not idempotent).
pub fn content(zones: &[&str]) -> TableContent {
    let board = policy(zones);
    let archive = ServicePolicy {
        custody_lease: CustodyLease::Limited(CUSTODY_LEASE),
        ..policy(zones)
    };
    let orders = ServicePolicy {
        keyed: false,
        idempotent: false,
        ..policy(zones)
    };
    TableContent {
        services: [
            (BOARD.to_owned(), board),
            (ARCHIVE.to_owned(), archive),
            (ORDERS.to_owned(), orders),
        ]
        .into(),
        overrides: std::collections::BTreeMap::new(),
    }
}

pub fn edit(id: &str, base_revision: u64, changes: Vec<TableChange>) -> TableEdit {
    TableEdit {
        edit_id: id.to_owned(),
        base_revision,
        operator: "ana".to_owned(),
        changes,
    }
}

pub fn server_record(server: &str, service: &str, zone: &str, incarnation: u64) -> ServerRecord {
    ServerRecord {
        server: server.to_owned(),
        service: service.to_owned(),
        address: "127.0.0.1:1".to_owned(),
        zone: zone.to_owned(),
        slots: 3,
        connections: 100,
        incarnation,
        checks_grants: true,
        draining: false,
    }
}

pub fn entry_record(vm: &str, incarnation: u64) -> EntryRecord {
    EntryRecord {
        vm: vm.to_owned(),
        incarnation,
        peer_address: "127.0.0.1:2".to_owned(),
        announce_address: "127.0.0.1:3".to_owned(),
    }
}

pub fn renewal(vm: &str, incarnation: u64, known_view: u64) -> RenewRequest {
    RenewRequest {
        entry: entry_record(vm, incarnation),
        known_view,
        stopping: false,
        announcements: Vec::new(),
        released: Vec::new(),
        resigned: Vec::new(),
        reports: Vec::new(),
    }
}

pub fn claim_by(service: &str, key: &str, vm: &str, attempt: u64) -> ClaimRequest {
    ClaimRequest {
        service: service.to_owned(),
        order_key: key.to_owned(),
        fingerprint: 7,
        claimant: Claimant {
            vm: vm.to_owned(),
            incarnation: 1,
            attempt,
        },
    }
}
