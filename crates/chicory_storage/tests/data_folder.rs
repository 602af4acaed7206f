//! Tests of the data folder on the file system.

use chicory_consensus::{Entry, EntryPayload, HardState, Snapshot};
use chicory_storage::{DataFolder, FolderIdentity, GroupStorage, IdentityField, StorageError};
use googletest::prelude::*;

fn identity(vm: &str, incarnation: u64) -> FolderIdentity {
    FolderIdentity {
        cluster: "harbour".into(),
        vm: vm.into(),
        zone: "north".into(),
        incarnation,
    }
}

#[gtest]
fn folder_of_another_cluster_vm_or_zone_is_rejected() {
    let own = identity("vm-a", 1);
    let cluster = FolderIdentity {
        cluster: "inland".into(),
        ..own.clone()
    };
    let zone = FolderIdentity {
        zone: "south".into(),
        ..own.clone()
    };
    let others = [
        (cluster, IdentityField::Cluster),
        (identity("vm-b", 1), IdentityField::Vm),
        (zone, IdentityField::Zone),
    ];
    for (other, expected) in others {
        let dir = tempfile::tempdir().expect("a folder");
        drop(DataFolder::open(dir.path(), &own).expect("opened"));
        let Err(StorageError::ForeignFolder { field, .. }) = DataFolder::open(dir.path(), &other)
        else {
            panic!("the folder of another process was opened");
        };
        expect_that!(field, eq(expected));
    }
}

#[gtest]
fn folder_in_use_is_rejected_until_its_disks_are_dropped() {
    let dir = tempfile::tempdir().expect("a folder");
    let folder = DataFolder::open(dir.path(), &identity("vm-a", 1)).expect("opened");
    let disk = folder.disk();
    drop(folder);
    let second = DataFolder::open(dir.path(), &identity("vm-a", 1));
    expect_true!(matches!(second, Err(StorageError::Locked { .. })));
    drop(disk);
    expect_true!(DataFolder::open(dir.path(), &identity("vm-a", 1)).is_ok());
}

#[gtest]
fn incarnation_increases_even_if_the_clock_went_back() {
    let dir = tempfile::tempdir().expect("a folder");
    for (clock_incarnation, expected) in [(5, 5), (9, 9), (3, 10), (3, 11)] {
        let folder =
            DataFolder::open(dir.path(), &identity("vm-a", clock_incarnation)).expect("opened");
        expect_that!(folder.identity().incarnation, eq(expected));
    }
}

#[gtest]
fn state_is_restored_from_files() {
    let dir = tempfile::tempdir().expect("a folder");
    let snapshot = Snapshot {
        last_index: 60,
        last_term: 2,
        ..Snapshot::default()
    };
    for start in 1..=3 {
        let folder = DataFolder::open(dir.path(), &identity("vm-a", start)).expect("opened");
        let opened = GroupStorage::open(folder.disk(), folder.identity(), "global-1");
        let (mut storage, restored) = opened.expect("readable");
        storage.set_segment_bytes(300);
        expect_that!(storage.incarnation(), eq(1));
        let last = restored
            .entries
            .last()
            .map_or(0, |last_entry| last_entry.index);
        expect_that!(last, eq((start - 1) * 50));
        for index in last + 1..=last + 50 {
            let entry = Entry {
                index,
                term: 2,
                payload: EntryPayload::Command(vec![1; 30]),
            };
            let hard_state = HardState {
                term: start,
                voted_for: None,
            };
            let written = storage.persist(Some(hard_state), None, vec![entry], None);
            written.expect("written");
        }
        if start == 2 {
            let written = storage.persist(None, None, vec![], Some(snapshot.clone()));
            written.expect("written");
        }
        if start == 3 {
            expect_that!(restored.snapshot, some(eq(&snapshot)));
            expect_that!(restored.hard_state.term, eq(2));
        }
    }
}
