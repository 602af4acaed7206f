//! Checks what entry VMs receive from a control process on loopback.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use chicory_directory::{
    ControlMessage, DirectoryPosition, EntryMessage, EntryReport, LinkHello, RelayPeer,
    ServerRecord, ServerState, SiteAnswer,
};
use chicory_link::{LinkStream, ReadEvent, dial, split};
use chicory_ranges::{CallOutcome, GrantCoordinatorConfig, ServerIncarnation};
use chicory_routes::{RequestKind, Route, RouteTable, RouteTarget, RoutedService};
use chicory_site::{
    GrantFuture, GrantRequest, GrantTransport, SiteHandle, SiteProcess, SiteProcessConfig,
};
use chicory_telemetry::Metrics;
use chicory_types::{BootClock, fingerprint_of};
use chicory_wire::proto::site;
use googletest::prelude::*;
use slog::{Logger, o};
use tempfile::TempDir;
use tokio::net::TcpSocket;

/// Time limit of a test. It only stops tests that hang; the results do not depend on it otherwise.
const DEADLINE: Duration = Duration::from_secs(30);
/// Number of servers of the keyed service: as many as a site has after it has grown.
const SERVER_COUNT: u16 = 400;

/// Backend servers that accept each call at once.
struct AcceptingServers;

impl GrantTransport for AcceptingServers {
    fn call(&self, _request: GrantRequest) -> GrantFuture {
        Box::pin(async {
            CallOutcome::Done {
                handover: None,
                link: Some(1),
            }
        })
    }
}

fn free_address() -> SocketAddr {
    let bound = std::net::TcpListener::bind(SocketAddr::from(([127, 0, 0, 1], 0)));
    let address = bound.and_then(|listener| listener.local_addr());
    address.expect("a free port")
}

async fn start_site(folder: &TempDir) -> (SocketAddr, SiteHandle) {
    let address = free_address();
    let config = SiteProcessConfig {
        cluster: "cluster".into(),
        vm: address.to_string(),
        link_address: address,
        zone: "north".into(),
        zones: std::collections::BTreeSet::new(),
        seeds: vec![address.to_string()],
        voter_count: 3,
        is_first_start: true,
        data_dir: folder.path().to_path_buf(),
        grants: GrantCoordinatorConfig::default(),
        cold_allowance: chicory_site::ColdAllowance::default(),
    };
    let started = SiteProcess::start(
        config,
        Arc::new(BootClock),
        Arc::new(AcceptingServers),
        Logger::root(slog::Discard, o!()),
        Arc::new(Metrics::new().expect("metrics")),
    );
    let (process, site) = started.await.expect("a control process");
    tokio::spawn(process.run());
    (address, site)
}

fn table(version: u64) -> RouteTable {
    RouteTable {
        version,
        services: vec![RoutedService {
            name: "archive".into(),
            health_path: None,
            max_connections: None,
            protocol: None,
            has_tls: None,
            is_keyed: Some(true),
            warmup: None,
            grant_mode: None,
            cold_time: None,
            cold_rate_millihertz: None,
        }],
        ..RouteTable::default()
    }
}

fn server(index: u16) -> ServerRecord {
    ServerRecord {
        incarnation: ServerIncarnation::new(format!("server-{index}"), 1),
        service: "archive".into(),
        address: SocketAddr::from(([10, 9, 0, 1], 1000 + index)),
        zone: "north".into(),
        software_version: "v1".into(),
        slots: 3,
        state: ServerState::Ready,
        cold_for: Duration::ZERO,
    }
}

/// Replaces the route table, and repeats the call until the site has a leader.
async fn put_table(site: &SiteHandle, version: u64) {
    while !matches!(site.put_routes(table(version)).await, Ok(SiteAnswer::Done)) {
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
}

/// Opens a link that accepts few bytes before they are read.
async fn dial_with_small_buffer(address: SocketAddr) -> LinkStream {
    let socket = TcpSocket::new_v4().expect("a socket");
    socket.set_recv_buffer_size(16 * 1024).expect("a buffer");
    let stream = socket.connect(address).await.expect("a connection");
    split(stream).expect("a link")
}

async fn send_hello(link: LinkStream) -> LinkStream {
    send_hello_as(link, "entry-1", None).await
}

async fn send_hello_as(
    mut link: LinkStream,
    vm: &str,
    relay_address: Option<SocketAddr>,
) -> LinkStream {
    let hello = LinkHello::Entry {
        vm: vm.into(),
        zone: "north".into(),
        known: DirectoryPosition::default(),
        relay_address,
        cpu_share: None,
    };
    link.1.put(&site::LinkHello::from(hello));
    link.1.flush().await.expect("an open link");
    link
}

/// Reads updates until they name `owner_count` owners of keys, and returns the number of owners;
/// `None` if the link ends.
async fn owners_received(link: &mut LinkStream, owner_count: usize) -> Option<usize> {
    let mut owners = std::collections::BTreeSet::new();
    let mut reports = tokio::time::interval(Duration::from_millis(300));
    while owners.len() < owner_count {
        let frame = tokio::select! {
            event = link.0.next_event() => match event.ok()? {
                ReadEvent::PartialFrame => continue,
                ReadEvent::Frame { frame, .. } => frame,
                ReadEvent::End => return None,
            },
            _ = reports.tick() => {
                let report = EntryMessage::Report(EntryReport::default());
                link.1.put(&site::EntryMessage::from(report));
                link.1.flush().await.ok()?;
                continue;
            }
        };
        let message = frame.decode::<site::ControlMessage>().expect("a message");
        let message = ControlMessage::try_from(message).expect("a whole message");
        if let ControlMessage::Update(update) = message {
            let ranges = update
                .ranges
                .into_iter()
                .flat_map(|of_service| of_service.ranges);
            owners.extend(ranges.map(|owned| owned.owner));
        }
    }
    Some(owners.len())
}

#[gtest]
#[tokio::test]
async fn burst_of_changes_does_not_disconnect_entry_vms_that_read() {
    let folder = tempfile::tempdir().expect("a folder");
    let (address, site) = start_site(&folder).await;
    let scenario = async {
        put_table(&site, 1).await;
        let mut link = send_hello(dial(address).await.expect("a link")).await;
        let mut calls = tokio::task::JoinSet::new();
        for index in 0..SERVER_COUNT {
            let site = site.clone();
            calls.spawn(async move { site.announce(server(index)).await });
        }
        let owner_count = usize::from(SERVER_COUNT);
        owners_received(&mut link, owner_count).await?;
        // Longer than it takes to close a link that lags behind.
        let further_owners = tokio::time::timeout(
            Duration::from_secs(1),
            owners_received(&mut link, usize::MAX),
        );
        further_owners.await.is_err().then_some(owner_count)
    };
    let received = tokio::time::timeout(DEADLINE, scenario).await;
    expect_that!(received, ok(some(eq(&usize::from(SERVER_COUNT)))));
}

/// Returns a table whose routes all differ from those of the table before it. Even deflated, it is
/// larger than what a link accepts before it is read.
fn replaced_table(version: u64) -> RouteTable {
    let noise = |index: usize, part: u64| {
        let seeds = [version, index as u64, part].map(u64::to_be_bytes);
        fingerprint_of(&[&seeds[0], &seeds[1], &seeds[2]])
    };
    let route = |index: usize| Route {
        name: [0, 1, 2, 3, 4, 5]
            .map(|part| format!("{:016x}", noise(index, part)))
            .concat(),
        host: format!("host-{index}"),
        path_prefix: "/".into(),
        kind: RequestKind::Idempotent,
        timeout: None,
        latency_target: None,
        priority: None,
        max_attempts: None,
        target: RouteTarget::Service("archive".into()),
    };
    RouteTable {
        routes: (0..4000).map(route).collect(),
        ..table(version)
    }
}

/// Sends reports without reading anything until `work` is done.
async fn report_during(link: &mut LinkStream, work: impl Future<Output = ()>) {
    let mut reports = tokio::time::interval(Duration::from_millis(300));
    let mut work = std::pin::pin!(work);
    loop {
        tokio::select! {
            () = &mut work => return,
            _ = reports.tick() => {
                let report = EntryMessage::Report(EntryReport::default());
                link.1.put(&site::EntryMessage::from(report));
                link.1.flush().await.expect("an open link");
            }
        }
    }
}

/// Reads updates up to the route table `newest`, and returns the versions of all tables received.
async fn tables_received(link: &mut LinkStream, newest: u64) -> Option<Vec<u64>> {
    let mut versions = Vec::new();
    while versions.last() != Some(&newest) {
        let frame = link.0.next().await.ok()??;
        let message = frame.decode::<site::ControlMessage>().expect("a message");
        let message = ControlMessage::try_from(message).expect("a whole message");
        if let ControlMessage::Update(update) = message {
            versions.extend(update.routes.map(|routes| routes.version));
        }
    }
    Some(versions)
}

#[gtest]
#[tokio::test]
async fn entry_vm_that_reads_late_is_not_sent_every_table() {
    let folder = tempfile::tempdir().expect("a folder");
    let (address, site) = start_site(&folder).await;
    let newest = 12;
    let scenario = async {
        put_table(&site, 1).await;
        let mut link = send_hello(dial_with_small_buffer(address).await).await;
        let put_tables = async {
            for version in 2..=newest {
                let table = replaced_table(version);
                site.put_routes(table).await.expect("a valid table");
            }
        };
        report_during(&mut link, put_tables).await;
        tables_received(&mut link, newest).await
    };
    let received = tokio::time::timeout(DEADLINE, scenario).await;
    let versions = received.expect("in time").expect("an open link");
    // One table may be in transfer, and the number of bytes that a link accepts before it is read
    // is bounded.
    expect_that!(versions.len(), le(4), "{versions:?}");
}

/// Sends a report, and reads messages until a status answers it. Returns the relay peers received
/// before that.
async fn report_and_read(link: &mut LinkStream, can_relay: bool) -> Option<Vec<RelayPeer>> {
    let report = EntryReport {
        can_relay,
        ..EntryReport::default()
    };
    let report = EntryMessage::Report(report);
    link.1.put(&site::EntryMessage::from(report));
    link.1.flush().await.ok()?;
    let mut relays = Vec::new();
    loop {
        let frame = link.0.next().await.ok()??;
        let message = frame.decode::<site::ControlMessage>().expect("a message");
        match ControlMessage::try_from(message).expect("a whole message") {
            ControlMessage::Status(_) => return Some(relays),
            ControlMessage::Relays(peers) => relays.extend(peers),
            _ => {}
        }
    }
}

#[gtest]
#[tokio::test]
async fn entry_vms_learn_who_relays_and_those_of_earlier_releases_do_not() {
    let folder = tempfile::tempdir().expect("a folder");
    let (address, site) = start_site(&folder).await;
    let peer = RelayPeer {
        vm: "entry-2".into(),
        address: SocketAddr::from(([10, 0, 0, 2], 7560)),
        zone: "north".into(),
    };
    let own_address = SocketAddr::from(([10, 0, 0, 1], 7560));
    let scenario = async {
        put_table(&site, 1).await;
        let links = [
            ("entry-1", Some(own_address)),
            ("entry-2", Some(peer.address)),
            ("entry-3", None),
        ];
        let mut open = Vec::new();
        for (vm, relay_address) in links {
            let link = dial(address).await.expect("a link");
            open.push(send_hello_as(link, vm, relay_address).await);
        }
        let mut received = Vec::new();
        while received.is_empty() {
            report_and_read(&mut open[1], true).await?;
            received = report_and_read(&mut open[0], false).await?;
        }
        for _ in 0..3 {
            let of_earlier_release = report_and_read(&mut open[2], true).await?;
            expect_that!(of_earlier_release, is_empty());
        }
        Some(received)
    };
    let received = tokio::time::timeout(DEADLINE, scenario).await;
    expect_that!(received, ok(some(eq(&vec![peer.clone()]))));
}
