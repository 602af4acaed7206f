//! Tests of the state that a group restores after crashes, damage and disk failures.

use chicory_consensus::{
    Entry, EntryPayload, HardState, MemberId, Membership, RestoredState, Snapshot,
};
use chicory_storage::{Damage, Disk, FolderIdentity, GroupStorage, MemoryDisk, StorageError};
use googletest::prelude::*;

const GROUP: &str = "zone-1";
const FIRST_INCARNATION: u64 = 7;

fn identity(incarnation: u64) -> FolderIdentity {
    FolderIdentity {
        cluster: "harbour".into(),
        vm: "vm-a".into(),
        zone: "north".into(),
        incarnation,
    }
}

fn open(disk: &MemoryDisk, start_incarnation: u64) -> (GroupStorage, RestoredState) {
    let disk: Box<dyn Disk> = Box::new(disk.clone());
    GroupStorage::open(disk, &identity(start_incarnation), GROUP).expect("readable")
}

fn entry(index: u64, term: u64) -> Entry {
    Entry {
        index,
        term,
        payload: EntryPayload::Command(index.to_le_bytes().to_vec()),
    }
}

fn hard_state(term: u64) -> HardState {
    HardState {
        term,
        voted_for: Some(MemberId::new("vm-b", 1)),
    }
}

fn snapshot(last_index: u64) -> Snapshot {
    Snapshot {
        last_index,
        last_term: 1,
        membership: Membership::of_voters([MemberId::new("vm-a", FIRST_INCARNATION)]),
        data: vec![3; 50],
    }
}

fn indices(restored: &RestoredState) -> Vec<u64> {
    restored
        .entries
        .iter()
        .map(|restored_entry| restored_entry.index)
        .collect()
}

/// Returns a disk with three batches: a vote, then two batches of two entries each.
fn small_log() -> MemoryDisk {
    let disk = MemoryDisk::default();
    let (mut storage, _) = open(&disk, FIRST_INCARNATION);
    let batches = [
        (Some(hard_state(3)), vec![]),
        (None, vec![entry(1, 3), entry(2, 3)]),
        (None, vec![entry(3, 3), entry(4, 3)]),
    ];
    for (hard_state, entries) in batches {
        storage
            .persist(hard_state, None, entries, None)
            .expect("written");
    }
    disk
}

#[gtest]
fn all_batches_are_restored_after_a_crash() {
    let disk = small_log();
    disk.crash(0);
    let (storage, restored) = open(&disk, FIRST_INCARNATION + 1);
    expect_that!(restored.hard_state, eq(&hard_state(3)));
    expect_that!(indices(&restored), eq(&[1, 2, 3, 4]));
    expect_true!(restored.may_vote);
    expect_that!(storage.incarnation(), eq(FIRST_INCARNATION));
}

#[gtest]
fn truncation_and_snapshot_are_restored() {
    let disk = small_log();
    let (mut storage, _) = open(&disk, FIRST_INCARNATION + 1);
    storage
        .persist(None, Some(4), vec![entry(4, 5)], None)
        .expect("written");
    storage
        .persist(None, None, vec![], Some(snapshot(2)))
        .expect("written");
    disk.crash(0);
    let (_, restored) = open(&disk, FIRST_INCARNATION + 2);
    expect_that!(restored.snapshot, some(eq(&snapshot(2))));
    expect_that!(indices(&restored), eq(&[3, 4]));
    expect_that!(restored.entries[1].term, eq(5));
}

#[gtest]
fn installed_snapshot_replaces_the_log() {
    let disk = small_log();
    let (mut storage, _) = open(&disk, FIRST_INCARNATION + 1);
    let entries = vec![entry(9, 6)];
    storage
        .persist(None, Some(9), entries, Some(snapshot(8)))
        .expect("written");
    disk.crash(0);
    let (_, restored) = open(&disk, FIRST_INCARNATION + 2);
    expect_that!(indices(&restored), eq(&[9]));
}

#[gtest]
fn segments_roll_over_and_are_removed_after_a_snapshot() {
    let disk = MemoryDisk::default();
    let (mut storage, _) = open(&disk, FIRST_INCARNATION);
    storage.set_segment_bytes(200);
    storage
        .persist(Some(hard_state(2)), None, vec![], None)
        .expect("written");
    for index in 1..=30 {
        storage
            .persist(None, None, vec![entry(index, 2)], None)
            .expect("written");
    }
    let before = disk.files().len();
    storage
        .persist(None, None, vec![], Some(snapshot(25)))
        .expect("written");
    expect_that!(disk.files().len(), lt(before));
    expect_that!(storage.cleanup_failures(), eq(0));
    disk.crash(0);
    let (_, restored) = open(&disk, FIRST_INCARNATION + 1);
    expect_that!(restored.hard_state, eq(&hard_state(2)));
    expect_that!(indices(&restored), eq(&[26, 27, 28, 29, 30]));
}

/// Returns a disk with a log of many segments, most of which a snapshot has superseded, and the names of
/// their files.
fn log_with_superseded_segments() -> (MemoryDisk, Vec<String>) {
    let disk = MemoryDisk::default();
    let (mut storage, _) = open(&disk, FIRST_INCARNATION);
    storage.set_segment_bytes(200);
    storage
        .persist(Some(hard_state(2)), None, vec![], None)
        .expect("written");
    for index in 1..=30 {
        storage
            .persist(None, None, vec![entry(index, 2)], None)
            .expect("written");
    }
    let before: Vec<String> = disk.files().into_iter().map(|(path, _)| path).collect();
    storage
        .persist(None, None, vec![], Some(snapshot(25)))
        .expect("written");
    let after: Vec<String> = disk.files().into_iter().map(|(path, _)| path).collect();
    let removed = before.into_iter().filter(|path| !after.contains(path));
    (disk, removed.collect())
}

/// Each removal that is not synced may be kept or lost, whatever happens to the others.
#[gtest]
fn removed_segments_that_are_back_after_a_crash_are_not_damage() {
    let (disk, removed) = log_with_superseded_segments();
    expect_that!(removed.len(), ge(3));
    for choice in 0..1_usize << removed.len().min(10) {
        let disk = disk.duplicate();
        let is_kept = |path: &str| {
            let position = removed.iter().position(|name| name == path);
            position.is_some_and(|position| choice >> position & 1 == 1)
        };
        disk.crash_keeping(0, is_kept);
        let (storage, restored) = open(&disk, FIRST_INCARNATION + 1);
        expect_that!(storage.damage().is_none(), eq(true), "{choice:b}");
        expect_that!(restored.may_vote, eq(true), "{choice:b}");
        expect_that!(restored.hard_state, eq(&hard_state(2)), "{choice:b}");
        expect_that!(indices(&restored), eq(&[26, 27, 28, 29, 30]), "{choice:b}");
        drop(storage);
        let (storage, restored) = open(&disk, FIRST_INCARNATION + 2);
        expect_that!(storage.damage().is_none(), eq(true), "{choice:b}");
        expect_that!(restored.entries.len(), eq(5), "{choice:b}");
    }
}

/// A segment that no snapshot supersedes is missed, also if one supersedes those before it.
#[gtest]
fn lost_segment_that_is_not_superseded_is_damage() {
    let (disk, _) = log_with_superseded_segments();
    disk.crash_keeping(0, |_| true);
    let segments = disk.files().into_iter().map(|(path, _)| path);
    let segments: Vec<String> = segments.filter(|path| path.contains("/log-")).collect();
    // The loss of the last segment looks like a crash before that segment was started.
    for path in &segments[..segments.len() - 1] {
        let mut lost = disk.duplicate();
        lost.remove(path).expect("removed");
        let (_, restored) = open(&lost, FIRST_INCARNATION + 1);
        expect_false!(restored.may_vote, "{path}");
    }
}

#[gtest]
fn one_batch_needs_one_sync() {
    let disk = small_log();
    let (mut storage, _) = open(&disk, FIRST_INCARNATION + 1);
    let before = disk.sync_count();
    let entries = (5..500).map(|index| entry(index, 3)).collect();
    storage
        .persist(Some(hard_state(4)), None, entries, None)
        .expect("written");
    expect_that!(disk.sync_count() - before, eq(1));
}

#[gtest]
fn tail_torn_at_any_byte_is_truncated() {
    let disk = small_log();
    let (path, len) = log_file(&disk);
    let batch_end = {
        let (mut storage, _) = open(&disk, FIRST_INCARNATION + 1);
        storage
            .persist(None, None, vec![entry(5, 3)], None)
            .expect("written");
        log_file(&disk).1
    };
    for kept in len..batch_end {
        let torn = disk.duplicate();
        torn.edit(&path, |data| data.truncate(kept));
        let (mut storage, restored) = open(&torn, FIRST_INCARNATION + 2);
        expect_that!(indices(&restored), eq(&[1, 2, 3, 4]), "cut at {kept}");
        expect_true!(restored.may_vote);
        storage
            .persist(None, None, vec![entry(5, 4)], None)
            .expect("written");
        let (_, restored) = open(&torn, FIRST_INCARNATION + 3);
        expect_that!(restored.entries.last(), some(eq(&entry(5, 4))));
    }
}

#[gtest]
fn unsynced_batch_is_lost_or_kept_completely() {
    for kept in 0..200 {
        let disk = small_log();
        let (mut storage, _) = open(&disk, FIRST_INCARNATION + 1);
        disk.fail_sync_after(0);
        let entries = vec![entry(5, 3), entry(6, 3)];
        let failed = storage.persist(None, None, entries, None);
        expect_true!(failed.is_err());
        disk.crash(kept);
        let (_, restored) = open(&disk, FIRST_INCARNATION + 2);
        expect_true!(restored.may_vote);
        expect_that!(restored.entries.len(), any![eq(4), eq(6)], "kept {kept}");
    }
}

fn log_file(disk: &MemoryDisk) -> (String, usize) {
    let files = disk.files();
    let log = files.into_iter().find(|(path, _)| path.contains("/log-"));
    log.expect("a segment")
}

#[gtest]
fn damage_at_any_byte_of_any_file_revokes_the_right_to_vote() {
    let disk = small_log();
    let (mut storage, _) = open(&disk, FIRST_INCARNATION + 1);
    storage.set_segment_bytes(1);
    storage
        .persist(None, None, vec![entry(5, 3)], Some(snapshot(1)))
        .expect("written");
    for (path, len) in disk.files() {
        for offset in 0..len {
            let damaged = disk.duplicate();
            damaged.edit(&path, |data| data[offset] ^= 0x41);
            let (storage, restored) = open(&damaged, FIRST_INCARNATION + 2);
            expect_false!(restored.may_vote, "{path} at {offset}");
            expect_that!(storage.damage(), some(anything()), "{path} at {offset}");
            expect_that!(storage.incarnation(), eq(FIRST_INCARNATION + 2));
            expect_true!(restored.entries.is_empty());
        }
    }
}

#[gtest]
fn damage_in_the_middle_is_reported_as_a_checksum_error() {
    let disk = small_log();
    let (path, _) = log_file(&disk);
    disk.edit(&path, |data| data[40] ^= 1);
    let (storage, _) = open(&disk, FIRST_INCARNATION + 1);
    let is_checksum = matches!(
        storage.damage(),
        Some(StorageError::Damaged {
            damage: Damage::Checksum,
            ..
        })
    );
    expect_true!(is_checksum);
}

#[gtest]
fn lost_file_revokes_the_right_to_vote() {
    let one_segment = small_log();
    let two_segments = small_log();
    let (mut storage, _) = open(&two_segments, FIRST_INCARNATION + 1);
    storage.set_segment_bytes(1);
    let entries = vec![entry(5, 3)];
    storage
        .persist(None, None, entries, Some(snapshot(1)))
        .expect("written");
    for disk in [one_segment, two_segments] {
        let files = disk.files();
        let segments = files.iter().filter(|(path, _)| path.contains("/log-"));
        let last_of_several = segments.map(|(path, _)| path).skip(1).max().cloned();
        for (path, _) in disk.files() {
            // The loss of the last segment looks like a crash before that segment was started.
            if Some(&path) == last_of_several.as_ref() {
                continue;
            }
            let mut lost = disk.duplicate();
            lost.remove(&path).expect("removed");
            let (_, restored) = open(&lost, FIRST_INCARNATION + 2);
            expect_false!(restored.may_vote, "{path}");
        }
    }
}

#[gtest]
fn member_that_lost_its_state_may_vote_again_once_it_has_a_snapshot() {
    let disk = small_log();
    let (path, _) = log_file(&disk);
    disk.edit(&path, |data| data[40] ^= 1);
    for restart in 1..4 {
        let (storage, restored) = open(&disk, FIRST_INCARNATION + restart);
        expect_false!(restored.may_vote);
        expect_that!(storage.incarnation(), eq(FIRST_INCARNATION + 1));
    }
    let (mut storage, _) = open(&disk, FIRST_INCARNATION + 4);
    storage
        .persist(None, None, vec![], Some(snapshot(3)))
        .expect("written");
    expect_true!(open(&disk, FIRST_INCARNATION + 5).1.may_vote);
}

#[gtest]
fn interrupted_reset_is_completed() {
    for syncs in 0..6 {
        let disk = small_log();
        let (path, _) = log_file(&disk);
        disk.edit(&path, |data| data[40] ^= 1);
        disk.fail_sync_after(syncs);
        let boxed: Box<dyn Disk> = Box::new(disk.clone());
        let first = GroupStorage::open(boxed, &identity(FIRST_INCARNATION + 1), GROUP);
        disk.crash(0);
        drop(first);
        let (storage, restored) = open(&disk, FIRST_INCARNATION + 2);
        expect_false!(restored.may_vote, "after {syncs}");
        expect_that!(
            storage.incarnation(),
            gt(FIRST_INCARNATION),
            "after {syncs}"
        );
    }
}

#[gtest]
fn interrupted_creation_is_not_damage() {
    for syncs in 0..3 {
        let disk = MemoryDisk::default();
        disk.fail_sync_after(syncs);
        let boxed: Box<dyn Disk> = Box::new(disk.clone());
        let first = GroupStorage::open(boxed, &identity(FIRST_INCARNATION), GROUP);
        disk.crash(5);
        drop(first);
        let (_, restored) = open(&disk, FIRST_INCARNATION + 1);
        expect_true!(restored.may_vote, "after {syncs}");
    }
}

#[gtest]
fn nothing_is_written_after_a_failed_sync() {
    let disk = small_log();
    let (mut storage, _) = open(&disk, FIRST_INCARNATION + 1);
    disk.fail_sync_after(0);
    let first = storage.persist(Some(hard_state(9)), None, vec![], None);
    expect_true!(matches!(first, Err(StorageError::Io { .. })));
    let second = storage.persist(Some(hard_state(10)), None, vec![], None);
    expect_true!(matches!(second, Err(StorageError::Failed)));
}

#[gtest]
fn full_disk_loses_nothing_that_was_durable() {
    for free_bytes in 0..80 {
        let disk = small_log();
        let (mut storage, _) = open(&disk, FIRST_INCARNATION + 1);
        let used: usize = disk.files().iter().map(|(_, len)| len).sum();
        disk.set_capacity_bytes(Some((used + free_bytes) as u64));
        let entries = (5..20).map(|index| entry(index, 3)).collect();
        expect_true!(storage.persist(None, None, entries, None).is_err());
        disk.set_capacity_bytes(None);
        disk.crash(usize::MAX);
        let (_, restored) = open(&disk, FIRST_INCARNATION + 2);
        expect_that!(indices(&restored), eq(&[1, 2, 3, 4]), "{free_bytes} free");
        expect_true!(restored.may_vote);
    }
}

/// Guards against a member that writes nothing more, or loses its vote, after its disk was full in the
/// middle of a record.
#[gtest]
fn storage_that_was_full_takes_entries_once_there_is_room() {
    for free_bytes in 0..300 {
        let disk = small_log();
        let (mut storage, _) = open(&disk, FIRST_INCARNATION + 1);
        let used: usize = disk.files().iter().map(|(_, len)| len).sum();
        disk.set_capacity_bytes(Some((used + free_bytes) as u64));
        let mut next = 5;
        while storage
            .persist(None, None, vec![entry(next, 3)], None)
            .is_ok()
        {
            next += 1;
        }
        disk.set_capacity_bytes(None);
        let (mut storage, restored) = open(&disk, FIRST_INCARNATION + 2);
        expect_true!(restored.may_vote, "{free_bytes} free");
        // The entry whose write failed may have reached the disk.
        let last = indices(&restored).last().copied().unwrap_or(0);
        expect_that!(last, any!(eq(next - 1), eq(next)), "{free_bytes} free");
        let entries = (last + 1..last + 8).map(|index| entry(index, 3)).collect();
        expect_true!(storage.persist(None, None, entries, None).is_ok());
        disk.crash(0);
        let (_, restored) = open(&disk, FIRST_INCARNATION + 3);
        let expected: Vec<_> = (1..last + 8).collect();
        expect_that!(indices(&restored), eq(&expected), "{free_bytes} free");
        expect_true!(restored.may_vote, "{free_bytes} free");
    }
}

#[gtest]
fn group_name_must_be_a_plain_file_name() {
    for name in ["", "../x", "a/b", ".."] {
        let disk: Box<dyn Disk> = Box::new(MemoryDisk::default());
        let opened = GroupStorage::open(disk, &identity(1), name);
        let is_refused = matches!(opened, Err(StorageError::InvalidGroupName { .. }));
        expect_true!(is_refused, "{name}");
    }
}
