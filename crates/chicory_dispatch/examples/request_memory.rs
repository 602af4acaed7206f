//! Prints the memory that the request path uses for open requests and for backend servers.
//!
//! Each size is built in a process of its own, and its memory is the growth of the resident memory
//! of that process. Open requests wait in the queues of their servers, relayed ones for their
//! answers.
//!
//! Run it with `cargo run --release -p chicory_dispatch --example request_memory`.

use std::process::Command;
use std::time::Duration;

use chicory_dispatch::{Event, RequestHead, RequestOrigin, RequestPath, RequestPathConfig};
use chicory_ownership::{
    EntryRecord, RenewAnswer, ServerRecord, SlotOwner, ViewChange, ViewUpdate,
};
use chicory_table::{CustodyLease, ServicePolicy, Table};
use chicory_types::{FencingToken, SLOTS_PER_SERVICE, SlotRun};

const ZONE: &str = "north";
const NOW: Duration = Duration::from_millis(1);
const OWN: &str = "entry-1";
const OTHER: &str = "entry-2";
/// Size of a memory page, the unit of `/proc/self/statm`.
const PAGE_BYTES: usize = 4_096;

/// Size of one run: the dispatcher and number of servers of a keyed service, and the requests left
/// open.
#[derive(Clone, Copy)]
struct Size {
    dispatcher: &'static str,
    servers: u16,
    requests: u64,
}

const SIZES: [Size; 10] = [
    size(OWN, 128, 0),
    size(OWN, 256, 0),
    size(OWN, 512, 0),
    size(OTHER, 512, 0),
    size(OWN, 128, 1_000),
    size(OWN, 128, 5_000),
    size(OWN, 128, 10_000),
    size(OTHER, 128, 1_000),
    size(OTHER, 128, 5_000),
    size(OTHER, 128, 10_000),
];

const fn size(dispatcher: &'static str, servers: u16, requests: u64) -> Size {
    Size {
        dispatcher,
        servers,
        requests,
    }
}

fn main() -> std::io::Result<()> {
    let number = std::env::args().nth(1).and_then(|text| text.parse().ok());
    if let Some(size) = number.and_then(|number: usize| SIZES.get(number).copied()) {
        measure(size);
        return Ok(());
    }
    println!("dispatcher servers requests | open  KB");
    for number in 0..SIZES.len() {
        let mut child = Command::new(std::env::current_exe()?);
        child.arg(number.to_string()).status()?;
    }
    Ok(())
}

fn measure(size: Size) {
    let before = resident_bytes();
    let mut path = path(size);
    for request in 0..size.requests {
        path.reduce(NOW, Event::RequestArrived(head(request)));
    }
    let bytes = resident_bytes().saturating_sub(before);
    println!(
        "{:>10} {:>7} {:>8} | {:>5} {:>4}",
        size.dispatcher,
        size.servers,
        size.requests,
        path.open_requests(),
        bytes / 1_000
    );
}

fn path(size: Size) -> RequestPath {
    let config = RequestPathConfig::builder(OWN, ZONE).build();
    let mut path = RequestPath::new(config, Duration::ZERO);
    path.reduce(Duration::ZERO, Event::Tick);
    path.reduce(
        Duration::ZERO,
        Event::RenewAnswered {
            sent_at: Duration::ZERO,
            from: OWN.to_owned(),
            answer: RenewAnswer::Granted {
                lease: Duration::from_mins(1),
                update: ViewUpdate {
                    version: 1,
                    changes: view(size),
                },
            },
        },
    );
    path
}

fn view(size: Size) -> Vec<ViewChange> {
    let mut table = Table {
        revision: 1,
        ..Table::default()
    };
    table.services.insert("board".to_owned(), policy());
    let mut view = vec![
        ViewChange::TableInForce(table),
        ViewChange::ZoneEntries {
            zone: ZONE.to_owned(),
            entries: vec![entry(OWN), entry(OTHER)],
        },
        ViewChange::CustodyAssigned {
            service: "board".to_owned(),
            runs: vec![SlotRun::new(0, SLOTS_PER_SERVICE - 1)],
            zone: ZONE.to_owned(),
            generation: 1,
        },
    ];
    for index in 0..size.servers {
        view.extend(server_changes(index, size));
    }
    view
}

fn server_changes(index: u16, size: Size) -> [ViewChange; 3] {
    let name = format!("board-{index}");
    let width = SLOTS_PER_SERVICE / size.servers;
    let run = SlotRun::new(index * width, (index + 1) * width - 1);
    [
        ViewChange::ServerUpserted(record(&name)),
        ViewChange::DispatcherAssigned {
            server: name.clone(),
            vm: Some(size.dispatcher.to_owned()),
            epoch: u64::from(index) + 1,
        },
        ViewChange::SlotsAssigned {
            service: "board".to_owned(),
            runs: vec![run],
            owner: SlotOwner::Owned {
                server: name,
                token: FencingToken::new(1, u64::from(index)),
            },
        },
    ]
}

fn policy() -> ServicePolicy {
    ServicePolicy {
        weight: 100,
        max_in_flight: 0,
        max_connections: 0,
        queue_limit: 1_000,
        rate_limit_per_s: 0,
        keyed: true,
        idempotent: true,
        deadline: Duration::from_mins(1),
        custody_lease: CustodyLease::Unlimited,
        zones: [ZONE.to_owned()].into(),
    }
}

fn record(name: &str) -> ServerRecord {
    ServerRecord {
        server: name.to_owned(),
        service: "board".to_owned(),
        address: format!("{name}:80"),
        zone: ZONE.to_owned(),
        slots: 3,
        connections: 100,
        incarnation: 1,
        checks_grants: true,
        draining: false,
    }
}

fn entry(vm: &str) -> EntryRecord {
    EntryRecord {
        vm: vm.to_owned(),
        incarnation: 1,
        peer_address: format!("{vm}:1"),
        announce_address: format!("{vm}:2"),
    }
}

fn head(request: u64) -> RequestHead {
    RequestHead {
        request,
        service: "board".to_owned(),
        key: Some(format!("station-{request}")),
        order_key: None,
        is_safe_method: true,
        fingerprint: request,
        is_replayable: true,
        deadline: None,
        origin: RequestOrigin::Caller,
    }
}

fn resident_bytes() -> usize {
    let statm = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = statm.split_whitespace().nth(1).and_then(|p| p.parse().ok());
    pages.unwrap_or(0) * PAGE_BYTES
}
