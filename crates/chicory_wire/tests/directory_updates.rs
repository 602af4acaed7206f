//! The size of an update to a follower depends on the size of the change, not on that of the site.

use std::net::SocketAddr;
use std::time::Duration;

use chicory_directory::{
    ControlMessage, DirectoryPosition, RouteHistory, ServerRecord, ServerState, SiteCommand,
    SiteState,
};
use chicory_ranges::{KeyRange, RangeMove, ServerIncarnation};
use chicory_routes::{RequestKind, Route, RouteTable, RouteTarget};
use chicory_wire::encode_control_message;
use chicory_wire::proto::site;
use googletest::prelude::*;
use prost::Message;

/// Servers of one keyed service at a large site.
const SERVERS: u16 = 250;
/// Maximum size of one change: the target of 8 KB/s for each VM, at 32 changes per second.
const MAX_CHANGE_BYTES: usize = 256;

fn incarnation(index: u16) -> ServerIncarnation {
    ServerIncarnation::new(format!("server-{index}"), 1)
}

fn assign_range(state: &mut SiteState, range: KeyRange, to: ServerIncarnation) {
    let owner = state.registry().owner("archive", range.first);
    let change = RangeMove {
        service: "archive".into(),
        range,
        from: owner.map(|owned| owned.owner.clone()),
        to,
        handover: None,
    };
    state.apply(state.version() + 1, SiteCommand::MoveRange(change));
}

fn large_site() -> SiteState {
    let mut state = SiteState::default();
    for index in 0..SERVERS {
        let record = ServerRecord {
            incarnation: incarnation(index),
            service: "archive".into(),
            address: SocketAddr::from(([10, 0, 0, 1], 8000 + index)),
            zone: "north".into(),
            software_version: "v1".into(),
            slots: 3,
            state: ServerState::Ready,
            cold_for: Duration::ZERO,
        };
        state.apply(state.version() + 1, SiteCommand::PutServer(record));
        let range = KeyRange::new(index * 200, index * 200 + 199);
        assign_range(&mut state, range, incarnation(index));
    }
    state
}

#[gtest]
fn move_of_one_range_is_a_small_update() {
    let mut state = large_site();
    let before = state.position();
    assign_range(&mut state, KeyRange::new(4000, 4009), incarnation(7));
    let update = state
        .update_since(before, &RouteHistory::default())
        .expect("an update");
    let bytes = site::DirectoryUpdate::from(update).encoded_len();
    expect_that!(bytes, le(MAX_CHANGE_BYTES));
}

/// Returns a table of many routes, in which only the route of index `version` has priority 1.
fn table(version: u64) -> RouteTable {
    let route = |index: u64| Route {
        name: format!("route-{index}"),
        host: format!("host-{}.example", index % 40),
        path_prefix: format!("/path-{index}/"),
        kind: RequestKind::Idempotent,
        timeout: Some(Duration::from_secs(1)),
        latency_target: Some(Duration::from_millis(400)),
        priority: Some(u32::from(index == version)),
        max_attempts: Some(2),
        target: RouteTarget::Service("archive".into()),
    };
    RouteTable {
        version,
        routes: (0..1500).map(route).collect(),
        ..RouteTable::default()
    }
}

#[gtest]
fn change_of_one_route_is_a_small_update() {
    let mut state = large_site();
    let mut history = RouteHistory::default();
    state.apply(state.version() + 1, SiteCommand::PutRoutes(table(1)));
    history.record(state.routes().clone());
    let before = state.position();
    state.apply(state.version() + 1, SiteCommand::PutRoutes(table(2)));
    let update = state.update_since(before, &history).expect("an update");
    let bytes = site::DirectoryUpdate::from(update).encoded_len();
    expect_that!(bytes, le(MAX_CHANGE_BYTES));
}

#[gtest]
fn follower_that_lags_by_many_tables_is_sent_only_what_changed() {
    let mut state = large_site();
    let mut history = RouteHistory::default();
    let mut put = |state: &mut SiteState, version| {
        state.apply(state.version() + 1, SiteCommand::PutRoutes(table(version)));
        history.record(state.routes().clone());
    };
    put(&mut state, 1);
    let before = state.position();
    let change_count = 60;
    for version in 2..=1 + change_count {
        put(&mut state, version);
    }
    let update = state.update_since(before, &history).expect("an update");
    let bytes = site::DirectoryUpdate::from(update).encoded_len();
    expect_that!(bytes, le(MAX_CHANGE_BYTES * 60));
}

#[gtest]
fn large_update_is_deflated_and_decodes_unchanged() {
    let update = large_site()
        .update_since(DirectoryPosition::default(), &RouteHistory::default())
        .expect("an update");
    let message = ControlMessage::Update(update);
    let plain_bytes = site::ControlMessage::from(message.clone()).encoded_len();
    let encoded = encode_control_message(message.clone());
    expect_that!(encoded.len(), lt(plain_bytes / 2));
    let decoded = site::ControlMessage::decode(&encoded[..]).expect("a message");
    expect_that!(ControlMessage::try_from(decoded), ok(eq(&message)));
}

#[gtest]
fn damaged_or_truncated_deflated_message_is_rejected() {
    let deflated = |bytes| site::ControlMessage {
        message: Some(site::control_message::Message::Deflated(bytes)),
    };
    let damaged = deflated(vec![7; 100]);
    expect_that!(ControlMessage::try_from(damaged), err(anything()));
    let update = large_site()
        .update_since(DirectoryPosition::default(), &RouteHistory::default())
        .expect("an update");
    let mut cut = encode_control_message(ControlMessage::Update(update));
    cut.truncate(cut.len() / 2);
    expect_that!(site::ControlMessage::decode(&cut[..]), err(anything()));
}
