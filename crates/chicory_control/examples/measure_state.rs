//! Measures the memory of a zone's replicated state, and the bytes of a full view and of a
//! snapshot.
//!
//! Each size is built in a process of its own; its memory is the growth of that process's resident
//! memory. The log itself, up to 4096 entries, is not part of it.
//!
//! Run it with `cargo run --release -p chicory_control --example measure_state`.

use std::process::Command;
use std::time::Duration;

use chicory_control::{ControlReply, StateMachine, ZoneMachine, reply_message};
use chicory_ownership::{
    ALL_SLOTS, ClaimRequest, ClaimResolution, Claimant, Custody, CustodyCause, CustodyRun,
    CustodyUpdate, EntryRecord, RenewAnswer, ServerRecord, StoredAnswer, ZoneCommand,
};
use chicory_table::{CustodyLease, ServicePolicy, Table};
use chicory_types::{SLOTS_PER_SERVICE, SlotRun};
use prost::Message;

const ZONE: &str = "north";
const SERVERS_PER_SERVICE: usize = 20;
const ANSWER_BYTES: usize = 100;
/// Size of a page of `/proc/self/statm`.
const PAGE_BYTES: usize = 4_096;

/// Size of one state.
#[derive(Clone, Copy)]
struct Size {
    services: usize,
    /// Number of slots of each service that moved from their server to the next one.
    moved: u16,
    entries: usize,
    claims: u64,
}

const BASE: Size = Size {
    services: 20,
    moved: 0,
    entries: 64,
    claims: 0,
};

fn sizes() -> Vec<Size> {
    let services = [5, 10, 20, 40].map(|services| Size { services, ..BASE });
    let moved = [240, 1_000, 2_000, 4_000].map(|moved| Size { moved, ..BASE });
    let entries = [128, 256].map(|entries| Size { entries, ..BASE });
    let claims = [5_000, 10_000, 20_000].map(|claims| Size { claims, ..BASE });
    [&services[..], &moved, &entries, &claims].concat()
}

fn main() -> std::io::Result<()> {
    let number = std::env::args().nth(1).and_then(|text| text.parse().ok());
    if let Some(size) = number.and_then(|number: usize| sizes().get(number).copied()) {
        measure(size);
        return Ok(());
    }
    println!("services moved entries claims | state KB  full view KB  snapshot KB");
    for number in 0..sizes().len() {
        let mut child = Command::new(std::env::current_exe()?);
        child.arg(number.to_string()).status()?;
    }
    Ok(())
}

fn measure(size: Size) {
    let before = resident_bytes();
    let machine = build(size);
    let state_bytes = resident_bytes().saturating_sub(before);
    println!(
        "{:>8} {:>5} {:>7} {:>6} | {:>8} {:>13} {:>12}",
        size.services,
        size.moved,
        size.entries,
        size.claims,
        state_bytes / 1_000,
        full_view_bytes(&machine) / 1_000,
        machine.encode_snapshot().len() / 1_000,
    );
}

/// Returns the length of the answer that a newly started entry process receives.
fn full_view_bytes(machine: &ZoneMachine) -> usize {
    let answer = RenewAnswer::Granted {
        lease: Duration::from_secs(2),
        update: machine.state().changes_since(0),
    };
    reply_message(ControlReply::Renew(answer))
        .encode_to_vec()
        .len()
}

fn build(size: Size) -> ZoneMachine {
    let mut machine = ZoneMachine::new(ZONE.to_owned(), 1);
    let mut index = 0;
    for command in commands(size) {
        index += 1;
        machine.apply(index, &command);
    }
    machine
}

fn commands(size: Size) -> impl Iterator<Item = ZoneCommand> {
    let entries = (0..size.entries).map(|n| ZoneCommand::RegisterEntry { record: entry(n) });
    let servers = (0..size.services).flat_map(move |service| {
        (0..SERVERS_PER_SERVICE).flat_map(move |n| server_commands(service, n, size))
    });
    let moved = (0..size.services).flat_map(move |service| move_commands(service, size.moved));
    let claims = (0..size.claims).flat_map(claim_commands);
    [adopt_table(size), adopt_custody(size)]
        .into_iter()
        .chain(entries)
        .chain(servers)
        .chain(moved)
        .chain(claims)
}

fn service_name(service: usize) -> String {
    format!("service-{service:02}")
}

fn server_name(service: usize, n: usize) -> String {
    format!("{}-{n:02}", service_name(service))
}

fn adopt_table(size: Size) -> ZoneCommand {
    let mut table = Table {
        revision: 1,
        ..Table::default()
    };
    for service in 0..size.services {
        table.services.insert(service_name(service), policy(true));
    }
    table.services.insert("orders".to_owned(), policy(false));
    ZoneCommand::AdoptTable { table }
}

fn policy(is_keyed: bool) -> ServicePolicy {
    ServicePolicy {
        weight: 100,
        max_in_flight: 0,
        max_connections: 0,
        queue_limit: 30,
        rate_limit_per_s: 0,
        keyed: is_keyed,
        idempotent: is_keyed,
        deadline: Duration::from_secs(2),
        custody_lease: CustodyLease::Unlimited,
        zones: [ZONE.to_owned()].into(),
    }
}

fn adopt_custody(size: Size) -> ZoneCommand {
    let custody = Custody {
        zone: ZONE.to_owned(),
        generation: 1,
        cause: CustodyCause::Initial,
        moving_to: None,
    };
    let services = (0..size.services).map(service_name);
    let runs = services.chain(["orders".to_owned()]);
    let runs = runs.map(|service| CustodyRun {
        service,
        run: ALL_SLOTS,
        custody: custody.clone(),
    });
    let update = CustodyUpdate {
        version: 1,
        runs: runs.collect(),
        handovers: Vec::new(),
    };
    ZoneCommand::AdoptCustody { update, at_ms: 0 }
}

fn entry(n: usize) -> EntryRecord {
    EntryRecord {
        vm: format!("entry-{n}"),
        incarnation: 1,
        peer_address: format!("10.0.0.{n}:7100"),
        announce_address: format!("10.0.0.{n}:7101"),
    }
}

/// Registers a server, and assigns its dispatcher and its share of the slots.
fn server_commands(service: usize, n: usize, size: Size) -> [ZoneCommand; 3] {
    let server = server_name(service, n);
    let share = usize::from(SLOTS_PER_SERVICE) / SERVERS_PER_SERVICE + 1;
    let first = n * share;
    let last = (first + share).min(usize::from(SLOTS_PER_SERVICE)) - 1;
    let dispatcher = (service * SERVERS_PER_SERVICE + n) % size.entries;
    [
        ZoneCommand::RegisterServer {
            record: ServerRecord {
                server: server.clone(),
                service: service_name(service),
                address: format!("10.1.{service}.{n}:80"),
                zone: ZONE.to_owned(),
                slots: 3,
                connections: 100,
                incarnation: 1,
                checks_grants: true,
                draining: false,
            },
        },
        ZoneCommand::AssignDispatcher {
            server: server.clone(),
            vm: format!("entry-{dispatcher}"),
            incarnation: 1,
        },
        ZoneCommand::AssignSlots {
            service: service_name(service),
            runs: vec![SlotRun::new(slot(first), slot(last))],
            server,
        },
    ]
}

fn slot(number: usize) -> u16 {
    u16::try_from(number).unwrap_or(SLOTS_PER_SERVICE - 1)
}

/// Moves single slots, evenly spread, from their server to the next one.
fn move_commands(service: usize, moved: u16) -> impl Iterator<Item = ZoneCommand> {
    (0..moved).flat_map(move |number| {
        let share = usize::from(SLOTS_PER_SERVICE) / SERVERS_PER_SERVICE + 1;
        let number = usize::from(number) * usize::from(SLOTS_PER_SERVICE) / usize::from(moved);
        let owner = number / share;
        let runs = vec![SlotRun::new(slot(number), slot(number))];
        let release = ZoneCommand::ReleaseSlots {
            service: service_name(service),
            runs: runs.clone(),
            server: server_name(service, owner),
        };
        let next = server_name(service, (owner + 1) % SERVERS_PER_SERVICE);
        let token = chicory_types::FencingToken::new(1, first_counter(service, owner));
        let confirm = ZoneCommand::ConfirmReleased {
            service: service_name(service),
            runs: runs.clone(),
            server: server_name(service, owner),
            token,
        };
        let assign = ZoneCommand::AssignSlots {
            service: service_name(service),
            runs,
            server: next,
        };
        [release, confirm, assign]
    })
}

/// Returns the counter of the fencing token under which a server got its share.
fn first_counter(service: usize, server: usize) -> u64 {
    u64::try_from(service * SERVERS_PER_SERVICE + server + 1).unwrap_or(0)
}

fn claim_commands(n: u64) -> [ZoneCommand; 2] {
    let claimant = Claimant {
        vm: "entry-0".to_owned(),
        incarnation: 1,
        attempt: n,
    };
    let order_key = format!("00000000-0000-4000-8000-{n:012}");
    let claim = ZoneCommand::Claim {
        request: ClaimRequest {
            service: "orders".to_owned(),
            order_key: order_key.clone(),
            fingerprint: n,
            claimant: claimant.clone(),
        },
        at_ms: n,
    };
    let resolution = ClaimResolution::Answered(StoredAnswer {
        status: 200,
        content_type: "text/plain".to_owned(),
        body: Some(vec![b'x'; ANSWER_BYTES]),
    });
    let resolve = ZoneCommand::ResolveClaim {
        service: "orders".to_owned(),
        order_key,
        claimant,
        resolution,
    };
    [claim, resolve]
}

fn resident_bytes() -> usize {
    let statm = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = statm.split_whitespace().nth(1).and_then(|p| p.parse().ok());
    pages.unwrap_or(0) * PAGE_BYTES
}
