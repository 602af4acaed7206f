//! Tests which servers are cold according to the replicated state.

use std::net::SocketAddr;
use std::time::Duration;

use chicory_directory::{
    CommandOutcome, DirectoryPosition, RouteHistory, ServerRecord, ServerState, SiteCommand,
    SiteState,
};
use chicory_ranges::ServerIncarnation;
use chicory_routes::{RouteTable, RoutedService};
use googletest::prelude::*;

const COLD_TIME: Duration = Duration::from_secs(3);

fn service(name: &str, cold_rate_millihertz: Option<u32>) -> RoutedService {
    RoutedService {
        name: name.into(),
        health_path: None,
        max_connections: None,
        protocol: None,
        has_tls: None,
        is_keyed: Some(true),
        warmup: None,
        grant_mode: None,
        cold_time: Some(COLD_TIME),
        cold_rate_millihertz,
    }
}

fn record(name: &str, service: &str, zone: &str, cold_for: Duration) -> ServerRecord {
    let port = 8000 + name.bytes().map(u16::from).sum::<u16>();
    ServerRecord {
        incarnation: ServerIncarnation::new(name, 1),
        service: service.into(),
        address: SocketAddr::from(([10, 0, 0, 1], port)),
        zone: zone.into(),
        software_version: String::new(),
        slots: 3,
        state: ServerState::Ready,
        cold_for,
    }
}

/// Returns a state with a table in which only the service `limited` has a cold limit.
fn state() -> SiteState {
    let mut state = SiteState::default();
    let table = RouteTable {
        version: 1,
        services: vec![service("limited", Some(4_000)), service("unlimited", None)],
        ..RouteTable::default()
    };
    state.apply(1, SiteCommand::PutRoutes(table));
    state
}

fn put(state: &mut SiteState, index: u64, record: ServerRecord) -> CommandOutcome {
    state.apply(index, SiteCommand::PutServer(record))
}

/// Returns the cold times that followers at this version are sent.
fn sent_since(state: &SiteState, version: u64) -> Vec<(String, Duration)> {
    let known = DirectoryPosition {
        version,
        ..DirectoryPosition::default()
    };
    let update = state.update_since(known, &RouteHistory::default());
    let servers = update.map(|update| update.servers).unwrap_or_default();
    let sent = servers.into_iter();
    sent.map(|record| (record.incarnation.server, record.cold_for))
        .collect()
}

/// Guards against a directory that says for good what a server stated first.
#[gtest]
fn record_that_differs_in_the_cold_time_alone_replaces_the_known_one() {
    let mut state = state();
    put(
        &mut state,
        2,
        record("a", "limited", "north", Duration::ZERO),
    );
    let incarnation = ServerIncarnation::new("a", 1);
    expect_that!(state.cold_rate_per_s(&incarnation), none());
    for (index, cold_for) in [(3, COLD_TIME), (4, COLD_TIME * 2), (5, Duration::ZERO)] {
        let outcome = put(&mut state, index, record("a", "limited", "north", cold_for));
        expect_that!(
            outcome,
            eq(&CommandOutcome::ColdTimeChanged),
            "{cold_for:?}"
        );
        let expected = (!cold_for.is_zero()).then_some(4.0);
        expect_that!(state.cold_rate_per_s(&incarnation), eq(expected));
        expect_that!(
            sent_since(&state, index - 1),
            eq(&vec![("a".into(), cold_for)])
        );
    }
    let same = record("a", "limited", "north", Duration::ZERO);
    expect_that!(put(&mut state, 6, same), eq(&CommandOutcome::Unchanged));
}

/// A server that becomes warm later and later states the same time again and again, and followers
/// count from each time that they receive it.
#[gtest]
fn same_cold_time_counts_again_from_its_entry_on() {
    let mut state = state();
    put(&mut state, 2, record("a", "limited", "north", COLD_TIME));
    let outcome = put(&mut state, 3, record("a", "limited", "north", COLD_TIME));
    expect_that!(outcome, eq(&CommandOutcome::ColdTimeChanged));
    expect_that!(sent_since(&state, 2), eq(&vec![("a".into(), COLD_TIME)]));
}

#[gtest]
fn cold_time_alone_changes_nothing_without_a_cold_limit() {
    let mut state = state();
    put(&mut state, 2, record("b", "unlimited", "north", COLD_TIME));
    let warm = record("b", "unlimited", "north", Duration::ZERO);
    expect_that!(put(&mut state, 3, warm), eq(&CommandOutcome::Unchanged));
    expect_that!(sent_since(&state, 2), is_empty());
    let incarnation = ServerIncarnation::new("b", 1);
    expect_that!(state.cold_rate_per_s(&incarnation), none());
}

/// Guards against a new process that is treated like the former one.
#[gtest]
fn restart_under_the_same_id_has_none_of_the_former_state() {
    let mut state = state();
    put(&mut state, 2, record("a", "limited", "north", COLD_TIME));
    let former = ServerIncarnation::new("a", 1);
    let mut next = record("a", "limited", "north", Duration::ZERO);
    next.incarnation = ServerIncarnation::new("a", 2);
    put(&mut state, 3, next.clone());
    expect_that!(state.cold_rate_per_s(&former), none());
    expect_that!(state.cold_rate_per_s(&next.incarnation), none());
    let late = record("a", "limited", "north", COLD_TIME);
    expect_that!(put(&mut state, 4, late), eq(&CommandOutcome::Stale));
}

/// Guards against requests in full to servers that cooled down while nothing was sent to them.
#[gtest]
fn servers_of_a_zone_are_cold_once_its_evacuation_is_finished() {
    let mut state = state();
    let long = COLD_TIME * 4;
    for (index, (name, service, zone, cold_for)) in (2..).zip([
        ("a", "limited", "north", Duration::ZERO),
        ("b", "unlimited", "north", Duration::ZERO),
        ("c", "limited", "south", Duration::ZERO),
        ("d", "limited", "north", long),
        ("e", "limited", "north", COLD_TIME),
    ]) {
        put(&mut state, index, record(name, service, zone, cold_for));
    }
    let finish = SiteCommand::FinishEvacuation("north".into());
    // Nothing was evacuated.
    state.apply(10, finish.clone());
    expect_that!(sent_since(&state, 9), is_empty());
    state.apply(11, SiteCommand::BeginEvacuation("north".into()));
    state.apply(12, finish.clone());
    let expected = vec![
        ("a".into(), COLD_TIME),
        ("d".into(), long),
        ("e".into(), COLD_TIME),
    ];
    expect_that!(sent_since(&state, 11), eq(&expected));
    // A repeated order doesn't extend it.
    state.apply(13, finish);
    expect_that!(sent_since(&state, 12), is_empty());
}

/// Guards against a limit for servers that have long been warm, at entry VMs that start later.
#[gtest]
fn full_update_names_no_server_as_cold_that_has_turned_warm() {
    let mut state = state();
    put(&mut state, 2, record("a", "limited", "north", COLD_TIME));
    put(&mut state, 3, record("b", "limited", "north", COLD_TIME));
    put(
        &mut state,
        4,
        record("a", "limited", "north", Duration::ZERO),
    );
    let expected = vec![("a".into(), Duration::ZERO), ("b".into(), COLD_TIME)];
    expect_that!(sent_since(&state, 0), eq(&expected));
}
