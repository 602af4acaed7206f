//! What followers are sent grows with the change and not with the site.

use std::net::SocketAddr;
use std::time::Duration;

use chicory_directory::{ServerRecord, ServerState, SiteCommand, SiteState};
use chicory_ranges::{KeyRange, RangeMove, ServerLife};
use chicory_wire::proto::site;
use googletest::prelude::*;
use prost::Message;

/// Servers of one keyed service at a large site.
const SERVERS: u16 = 250;
/// Bytes for one change: 8 KB/s for each VM, the stated aim, at 32 changes a second.
const MAX_CHANGE_BYTES: usize = 256;

fn life(index: u16) -> ServerLife {
    ServerLife::new(format!("server-{index}"), 1)
}

fn give(state: &mut SiteState, range: KeyRange, to: ServerLife) {
    let owner = state.book().owner("archive", range.first);
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
            life: life(index),
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
        give(&mut state, range, life(index));
    }
    state
}

#[gtest]
fn move_of_one_range_is_a_small_update() {
    let mut state = large_site();
    let before = state.mark();
    give(&mut state, KeyRange::new(4000, 4009), life(7));
    let update = state.update_since(before).expect("an update");
    let bytes = site::DirectoryUpdate::from(update).encoded_len();
    expect_that!(bytes, le(MAX_CHANGE_BYTES));
}
