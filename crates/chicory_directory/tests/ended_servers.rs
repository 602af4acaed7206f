//! Which servers count as ended when another process has their id or their address.

use std::net::SocketAddr;
use std::time::Duration;

use chicory_directory::{
    CommandOutcome, EndedServer, ServerRecord, ServerState, SiteCommand, SiteState,
};
use chicory_ranges::ServerIncarnation;
use googletest::prelude::*;

fn record(server: &str, started_at_ms: u64, service: &str, host: u8) -> ServerRecord {
    ServerRecord {
        incarnation: ServerIncarnation::new(server, started_at_ms),
        service: service.into(),
        address: SocketAddr::from(([10, 0, 0, host], 8000)),
        zone: "zone-a".into(),
        software_version: "v1".into(),
        slots: 4,
        state: ServerState::Ready,
        cold_for: Duration::ZERO,
    }
}

/// Returns the servers that count as ended once `next` is announced after `former`.
fn ended_by(former: ServerRecord, next: ServerRecord) -> Vec<EndedServer> {
    let mut state = SiteState::default();
    state.apply(1, SiteCommand::PutServer(former));
    match state.apply(2, SiteCommand::PutServer(next)) {
        CommandOutcome::ServerChanged { ended } => ended,
        outcome => panic!("the announcement had the outcome {outcome:?}"),
    }
}

fn ended(former: &ServerRecord, successor: Option<&ServerRecord>) -> Vec<EndedServer> {
    vec![EndedServer {
        incarnation: former.incarnation.clone(),
        successor: successor.map(|record| record.incarnation.clone()),
    }]
}

#[gtest]
fn restarted_server_succeeds_its_former_incarnation() {
    let former = record("i-1", 1, "archive", 1);
    let restarted = record("i-1", 2, "archive", 1);
    let expected = ended(&former, Some(&restarted));
    expect_that!(ended_by(former, restarted), eq(&expected));
}

#[gtest]
fn another_server_or_one_at_another_address_succeeds_none() {
    let former = record("i-1", 1, "archive", 1);
    let other_id = record("i-2", 2, "archive", 1);
    let other_service = record("i-1", 2, "orders", 1);
    let other_address = record("i-1", 2, "archive", 2);
    for next in [other_id, other_service, other_address] {
        let expected = ended(&former, None);
        expect_that!(ended_by(former.clone(), next), eq(&expected));
    }
}
