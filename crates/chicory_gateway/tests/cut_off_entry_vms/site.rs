//! The directory of a site with a keyed service and a service for orders.

use std::net::SocketAddr;
use std::time::Duration;

use chicory_directory::{DirectoryUpdate, ServerRecord, ServerState, ServiceRanges};
use chicory_ranges::{KeyRange, OwnedRange, ServerIncarnation};
use chicory_routes::{RequestKind, Route, RouteTable, RouteTableDelta, RouteTarget, RoutedService};
use chicory_types::ZoneName;

const KEYED: &str = "archive";
const ORDERED: &str = "ledger";
const LARGE: &str = "library";

/// Returns the name of an availability zone.
pub fn zone_name(zone: usize) -> ZoneName {
    format!("zone-{zone}")
}

/// Returns the directory of a site. Each service has this many servers for each zone.
pub fn directory(zone_count: usize, servers_per_zone: usize, has_large: bool) -> DirectoryUpdate {
    let names = |service: &str| -> Vec<ServerRecord> {
        (0..zone_count * servers_per_zone)
            .map(|index| server(service, index, zone_count))
            .collect()
    };
    let keyed = names(KEYED);
    let ranges = ranges(&keyed);
    DirectoryUpdate {
        version: 1,
        last_fence: ranges.len() as u64,
        is_full: true,
        routes: Some(RouteTableDelta::whole(&table())),
        servers: keyed
            .into_iter()
            .chain(names(ORDERED))
            .chain(names(LARGE).into_iter().filter(|_| has_large))
            .collect(),
        removed: Vec::new(),
        ranges: vec![ServiceRanges {
            service: KEYED.into(),
            ranges,
        }],
        evacuated_zones: None,
    }
}

fn server(service: &str, index: usize, zone_count: usize) -> ServerRecord {
    let port = 8000 + u16::try_from(index).expect("a small index");
    ServerRecord {
        incarnation: ServerIncarnation::new(format!("{service}-{index}"), 1),
        service: service.into(),
        address: SocketAddr::from(([10, 0, 0, 1], port)),
        zone: zone_name(index % zone_count),
        software_version: String::new(),
        slots: 8,
        state: ServerState::Ready,
        cold_for: Duration::ZERO,
    }
}

/// Divides all keys evenly among servers.
fn ranges(servers: &[ServerRecord]) -> Vec<OwnedRange> {
    let count = u32::try_from(servers.len()).expect("a small number");
    let first_key = |index: u32| index * 65_536 / count;
    let owned = (0..count).zip(servers).map(|(index, record)| {
        let key = |key: u32| u16::try_from(key).expect("a key");
        OwnedRange {
            range: KeyRange::new(key(first_key(index)), key(first_key(index + 1) - 1)),
            owner: record.incarnation.clone(),
            fence: u64::from(index) + 1,
            handover: None,
        }
    });
    owned.collect()
}

fn table() -> RouteTable {
    RouteTable {
        version: 1,
        routes: vec![
            route("reads", KEYED, RequestKind::Idempotent),
            route("orders", ORDERED, RequestKind::Order),
            route("downloads", LARGE, RequestKind::Download),
        ],
        services: vec![
            service(KEYED, true),
            service(ORDERED, false),
            service(LARGE, false),
        ],
        limits: None,
    }
}

fn route(name: &str, service: &str, kind: RequestKind) -> Route {
    Route {
        name: name.into(),
        host: "host".into(),
        path_prefix: format!("/{name}/"),
        kind,
        timeout: None,
        latency_target: Some(Duration::from_millis(400)),
        priority: None,
        max_attempts: Some(2),
        target: RouteTarget::Service(service.into()),
    }
}

fn service(name: &str, is_keyed: bool) -> RoutedService {
    RoutedService {
        name: name.into(),
        health_path: None,
        max_connections: None,
        protocol: None,
        has_tls: None,
        is_keyed: Some(is_keyed),
        warmup: None,
        grant_mode: None,
        cold_time: None,
        cold_rate_millihertz: None,
    }
}
