//! Tables, records and requests shared by the tests.

use std::collections::BTreeSet;
use std::time::Duration;

use chicory_dispatch::{RequestHead, RequestOrigin, RequestPathConfig, RequestPathConfigBuilder};
use chicory_ownership::{EntryRecord, ServerRecord, SlotOwner, ViewChange};
use chicory_table::{CustodyLease, ServicePolicy, Table};
use chicory_types::{FencingToken, SLOTS_PER_SERVICE, SlotRun};

pub const ZONE: &str = "vake-hall";
pub const FAR_ZONE: &str = "didube-hall";
pub const VM: &str = "entry-1";
pub const PEER: &str = "entry-2";
pub const BOARD: &str = "board";
pub const LEDGER: &str = "ledger";
pub const PLANS: &str = "plans";

pub fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

pub fn config() -> RequestPathConfigBuilder {
    RequestPathConfig::builder(VM, ZONE)
        .peer_address("entry-1:1")
        .announce_address("entry-1:2")
        .seed(11)
}

/// Returns the policy of a service with unkeyed, idempotent requests.
pub fn policy() -> ServicePolicy {
    ServicePolicy {
        weight: 100,
        max_in_flight: 0,
        max_connections: 0,
        queue_limit: 32,
        rate_limit_per_s: 0,
        keyed: false,
        idempotent: true,
        deadline: ms(2_000),
        custody_lease: CustodyLease::Unlimited,
        zones: BTreeSet::from([ZONE.to_owned(), FAR_ZONE.to_owned()]),
    }
}

/// Returns a table with a keyed service, a service of orders, and an unkeyed service.
pub fn table() -> Table {
    let mut table = Table {
        revision: 1,
        ..Table::default()
    };
    let board = ServicePolicy {
        keyed: true,
        ..policy()
    };
    let ledger = ServicePolicy {
        idempotent: false,
        ..policy()
    };
    table.services.insert(BOARD.to_owned(), board);
    table.services.insert(LEDGER.to_owned(), ledger);
    table.services.insert(PLANS.to_owned(), policy());
    table
}

pub fn record(service: &str, name: &str) -> ServerRecord {
    ServerRecord {
        server: name.to_owned(),
        service: service.to_owned(),
        address: format!("{name}:80"),
        zone: ZONE.to_owned(),
        slots: 4,
        connections: 10,
        incarnation: 1,
        checks_grants: true,
        draining: false,
    }
}

pub fn entry(vm: &str) -> EntryRecord {
    EntryRecord {
        vm: vm.to_owned(),
        incarnation: 1,
        peer_address: format!("{vm}:1"),
        announce_address: format!("{vm}:2"),
    }
}

pub fn all_slots() -> Vec<SlotRun> {
    vec![SlotRun::new(0, SLOTS_PER_SERVICE - 1)]
}

pub fn owned(server: &str, counter: u64) -> SlotOwner {
    SlotOwner::Owned {
        server: server.to_owned(),
        token: FencingToken::new(1, counter),
    }
}

pub fn slots(service: &str, owner: SlotOwner) -> ViewChange {
    ViewChange::SlotsAssigned {
        service: service.to_owned(),
        runs: all_slots(),
        owner,
    }
}

pub fn custody(service: &str, zone: &str) -> ViewChange {
    ViewChange::CustodyAssigned {
        service: service.to_owned(),
        runs: all_slots(),
        zone: zone.to_owned(),
        generation: 1,
    }
}

pub fn dispatcher(server: &str, vm: Option<&str>, epoch: u64) -> ViewChange {
    ViewChange::DispatcherAssigned {
        server: server.to_owned(),
        vm: vm.map(str::to_owned),
        epoch,
    }
}

/// Returns a view with the table, the entry processes of two zones, and custody of all slots in
/// this zone.
pub fn base_view() -> Vec<ViewChange> {
    vec![
        ViewChange::TableInForce(table()),
        ViewChange::ZoneEntries {
            zone: ZONE.to_owned(),
            entries: vec![entry(VM), entry(PEER)],
        },
        ViewChange::ZoneEntries {
            zone: FAR_ZONE.to_owned(),
            entries: vec![entry("far-1"), entry("far-2")],
        },
        custody(BOARD, ZONE),
        custody(LEDGER, ZONE),
    ]
}

pub fn head(request: u64, service: &str) -> RequestHead {
    RequestHead {
        request,
        service: service.to_owned(),
        key: Some(format!("key-{request}")),
        order_key: None,
        is_safe_method: service != LEDGER,
        fingerprint: request,
        is_replayable: true,
        deadline: None,
        origin: RequestOrigin::Caller,
    }
}

pub fn order(request: u64, order_key: &str) -> RequestHead {
    RequestHead {
        order_key: Some(order_key.to_owned()),
        fingerprint: chicory_types::fingerprint_of(&[order_key.as_bytes()]),
        ..head(request, LEDGER)
    }
}
