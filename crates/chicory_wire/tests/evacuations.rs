//! Evacuated availability zones in stored records and in messages.

use chicory_directory::{DirectoryUpdate, SiteAnswer, SiteCall, SiteCommand, SiteState};
use chicory_wire::proto::site;
use googletest::prelude::*;
use prost::Message;

/// A snapshot as earlier releases define it, without the lists.
#[derive(Clone, PartialEq, Message)]
struct EarlierSnapshot {
    #[prost(uint64, tag = "1")]
    version: u64,
    #[prost(message, optional, tag = "2")]
    routes: Option<site::RouteTable>,
    #[prost(uint64, tag = "3")]
    routes_changed_at: u64,
}

/// An update as earlier releases define it, without the lists.
#[derive(Clone, PartialEq, Message)]
struct EarlierUpdate {
    #[prost(uint64, tag = "1")]
    version: u64,
    #[prost(bool, tag = "2")]
    is_full: bool,
    #[prost(uint64, tag = "7")]
    last_fence: u64,
}

fn evacuated_state() -> SiteState {
    let mut state = SiteState::default();
    for (index, zone) in (1..).zip(["south b", "north"]) {
        state.apply(index, SiteCommand::BeginEvacuation(zone.into()));
    }
    state
}

fn decode_state(bytes: &[u8]) -> SiteState {
    let snapshot = site::SiteSnapshot::decode(bytes).expect("a snapshot");
    SiteState::try_from(snapshot).expect("a state")
}

/// Guards against an evacuation that is lost once the log is replaced by a snapshot.
#[gtest]
fn snapshot_keeps_the_set_and_when_it_changed() {
    let state = evacuated_state();
    let bytes = site::SiteSnapshot::from(&state).encode_to_vec();
    expect_that!(decode_state(&bytes), eq(&state));
}

/// Guards against a control VM that can't start from the disk of the release before, or that can't go
/// back to it.
#[gtest]
fn snapshots_of_this_and_of_the_earlier_release_can_be_read_by_both() {
    let earlier = EarlierSnapshot {
        version: 9,
        routes: Some(site::RouteTable::default()),
        routes_changed_at: 4,
    };
    let state = decode_state(&earlier.encode_to_vec());
    expect_that!(state.version(), eq(9));
    expect_that!(state.evacuated_zones().len(), eq(0));
    expect_that!(state.evacuations_changed_at(), eq(0));
    let bytes = site::SiteSnapshot::from(&evacuated_state()).encode_to_vec();
    let read = EarlierSnapshot::decode(&bytes[..]).expect("a snapshot");
    expect_that!(read.version, eq(2));
}

/// Guards against an absent field that is taken for an empty set.
#[gtest]
fn update_tells_an_empty_set_from_none() {
    for zones in [None, Some(vec![]), Some(vec!["north", "south b"])] {
        let zones = zones.map(|zones| zones.into_iter().map(str::to_owned).collect());
        let update = DirectoryUpdate {
            version: 5,
            evacuated_zones: zones,
            ..DirectoryUpdate::default()
        };
        let bytes = site::DirectoryUpdate::from(update.clone()).encode_to_vec();
        let read = site::DirectoryUpdate::decode(&bytes[..]).expect("an update");
        let read = DirectoryUpdate::try_from(read).expect("an update");
        expect_that!(read, eq(&update));
        let earlier = EarlierUpdate::decode(&bytes[..]).expect("an update");
        expect_that!(earlier.version, eq(5));
    }
    let earlier = EarlierUpdate {
        version: 6,
        last_fence: 1,
        is_full: true,
    };
    let bytes = earlier.encode_to_vec();
    let read = site::DirectoryUpdate::decode(&bytes[..]).expect("an update");
    let read = DirectoryUpdate::try_from(read).expect("an update");
    expect_that!(read.evacuated_zones, none());
}

/// Guards against orders that change in a log, or between control VMs.
#[gtest]
fn orders_and_answers_can_be_read_back() {
    let zone = || String::from("south b");
    for command in [
        SiteCommand::BeginEvacuation(zone()),
        SiteCommand::FinishEvacuation(zone()),
    ] {
        let bytes = site::SiteCommand::from(command.clone()).encode_to_vec();
        let read = site::SiteCommand::decode(&bytes[..]).expect("a command");
        expect_that!(SiteCommand::try_from(read), ok(eq(&command)));
    }
    for call in [
        SiteCall::BeginEvacuation(zone()),
        SiteCall::FinishEvacuation(zone()),
        SiteCall::ReadEvacuations,
    ] {
        let bytes = site::SiteCall::from(call.clone()).encode_to_vec();
        let read = site::SiteCall::decode(&bytes[..]).expect("a call");
        expect_that!(SiteCall::try_from(read), ok(eq(&call)));
    }
    for answer in [
        SiteAnswer::UnknownZone,
        SiteAnswer::EvacuatedZones([zone()].into()),
        SiteAnswer::EvacuatedZones([].into()),
    ] {
        let bytes = site::SiteAnswer::from(answer.clone()).encode_to_vec();
        let read = site::SiteAnswer::decode(&bytes[..]).expect("an answer");
        expect_that!(SiteAnswer::try_from(read), ok(eq(&answer)));
    }
}
