//! Tests that the entry processes of other zones are sent to a zone only when they changed.

mod common;

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use chicory_ownership::*;
use common::fixtures::*;
use googletest::prelude::*;

fn request(zone: &str, known: &[ZoneDirectory], entries: Vec<EntryRecord>) -> ZoneSyncRequest {
    let known = known.iter().map(|directory| {
        let fingerprint = ZoneDirectory::fingerprint(&directory.entries);
        (directory.zone.clone(), fingerprint)
    });
    ZoneSyncRequest {
        zone: zone.to_owned(),
        group_epoch: 1,
        leader: "vm".to_owned(),
        in_force_revision: 0,
        known_custody_version: 0,
        known_directories: known.collect::<BTreeMap<_, _>>(),
        entries,
        served: BTreeSet::new(),
        releases: Vec::new(),
    }
}

fn directories(answer: ZoneSyncAnswer) -> Vec<ZoneDirectory> {
    match answer {
        ZoneSyncAnswer::Current { zones, .. } => zones,
        other => panic!("the sync was not answered with the current state: {other:?}"),
    }
}

#[gtest]
fn a_known_directory_is_not_sent_again_until_it_changes() {
    let mut state = GlobalState::default();
    for (index, zone) in ["a", "b"].into_iter().enumerate() {
        let command = GlobalCommand::RegisterZone {
            zone: zone.to_owned(),
            group_epoch: 1,
            at_ms: 0,
        };
        state.apply(index as u64 + 1, &command);
    }
    let now = Duration::ZERO;
    let mut leader = GlobalLeader::new(now, GlobalLeaderConfig::default());
    let mut sync = |zone: &str, known: &[ZoneDirectory], entries: Vec<EntryRecord>| {
        directories(leader.on_zone_sync(now, &state, &request(zone, known, entries)))
    };
    sync("b", &[], vec![entry_record("e1", 1)]);
    let first = sync("a", &[], Vec::new());
    expect_that!(first.len(), eq(1));
    expect_that!(sync("a", &first, Vec::new()), is_empty());
    sync("b", &[], vec![entry_record("e1", 2)]);
    let changed = sync("a", &first, Vec::new());
    expect_that!(changed.len(), eq(1));
    expect_that!(changed[0].entries, eq(&vec![entry_record("e1", 2)]));
}
