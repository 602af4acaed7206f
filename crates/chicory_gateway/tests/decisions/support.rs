//! A gateway with three services, and requests to it.

use std::net::SocketAddr;
use std::time::Duration;

use chicory_directory::{DirectoryUpdate, LinkStatus, ServerRecord, ServerState, ServiceRanges};
use chicory_gateway::{
    Admission, Gateway, GatewayConfig, NextStep, RefusalReason, RequestMetadata, RequestTicket,
    Target,
};
use chicory_ranges::{KeyRange, OwnedRange, ServerIncarnation};
use chicory_routes::{RequestKind, Route, RouteTable, RouteTableDelta, RouteTarget, RoutedService};

pub const START: Duration = Duration::from_secs(10);

pub fn route(name: &str, service: &str, kind: RequestKind) -> Route {
    Route {
        name: name.into(),
        host: "host".into(),
        path_prefix: format!("/{name}/"),
        kind,
        timeout: Some(Duration::from_secs(1)),
        latency_target: Some(Duration::from_millis(400)),
        priority: None,
        max_attempts: Some(2),
        target: RouteTarget::Service(service.into()),
    }
}

pub fn service(name: &str, is_keyed: bool) -> RoutedService {
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

pub fn table(version: u64) -> RouteTable {
    RouteTable {
        version,
        routes: vec![
            route("reads", "archive", RequestKind::Idempotent),
            route("plans", "library", RequestKind::Idempotent),
            route("orders", "ledger", RequestKind::Order),
        ],
        services: vec![
            service("archive", true),
            service("library", false),
            service("ledger", false),
        ],
        limits: None,
    }
}

pub fn server(name: &str, service_name: &str, state: ServerState) -> ServerRecord {
    let port = 8000 + name.bytes().map(u16::from).sum::<u16>();
    ServerRecord {
        incarnation: ServerIncarnation::new(name, 1),
        service: service_name.into(),
        address: SocketAddr::from(([10, 0, 0, 1], port)),
        zone: "north".into(),
        software_version: String::new(),
        slots: 3,
        state,
        cold_for: Duration::ZERO,
    }
}

pub fn owned(first: u16, last: u16, owner: &str, fence: u64) -> OwnedRange {
    OwnedRange {
        range: KeyRange::new(first, last),
        owner: ServerIncarnation::new(owner, 1),
        fence,
        handover: None,
    }
}

pub fn ranges(ranges: Vec<OwnedRange>) -> Vec<ServiceRanges> {
    vec![ServiceRanges {
        service: "archive".into(),
        ranges,
    }]
}

pub fn gateway() -> Gateway {
    gateway_with(GatewayConfig::default())
}

pub fn gateway_with(config: GatewayConfig) -> Gateway {
    let mut gateway = Gateway::new(config);
    let ready = ServerState::Ready;
    let update = DirectoryUpdate {
        version: 5,
        last_fence: 2,
        is_full: true,
        routes: Some(RouteTableDelta::whole(&table(1))),
        servers: vec![
            server("a1", "archive", ready),
            server("a2", "archive", ready),
            server("l1", "library", ready),
            server("l2", "library", ready),
            server("o1", "ledger", ready),
            server("o2", "ledger", ready),
        ],
        removed: Vec::new(),
        evacuated_zones: None,
        ranges: ranges(vec![owned(0, 999, "a1", 1), owned(1000, 65_535, "a2", 2)]),
    };
    gateway.update(START, update);
    gateway.record_status(START, &in_contact());
    gateway
}

pub fn in_contact() -> LinkStatus {
    LinkStatus {
        is_in_contact: true,
        entry_count: 3,
        ..LinkStatus::default()
    }
}

pub fn metadata(key: Option<u16>) -> RequestMetadata {
    RequestMetadata {
        attempt_id: Some("attempt-1".into()),
        time_left: Some(Duration::from_secs(1)),
        key,
    }
}

pub fn admit(gateway: &mut Gateway, path: &str, key: Option<u16>) -> RequestTicket {
    match gateway.admit(START, "host", path, &metadata(key)) {
        Admission::Accepted(ticket) => ticket,
        Admission::Refused(refusal) => panic!("refused: {refusal:?}"),
    }
}

pub fn refusal_of(
    gateway: &mut Gateway,
    now: Duration,
    path: &str,
    key: Option<u16>,
) -> RefusalReason {
    match gateway.admit(now, "host", path, &metadata(key)) {
        Admission::Accepted(_) => panic!("accepted"),
        Admission::Refused(refusal) => refusal.reason,
    }
}

pub fn expect_sent(step: NextStep) -> Target {
    match step {
        NextStep::Send(target) => target,
        other => panic!("expected the request to be sent, got {other:?}"),
    }
}
