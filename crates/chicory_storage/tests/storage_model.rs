//! Test that compares the storage with a simple model, over random writes, failures and crashes.

use chicory_consensus::{
    Entry, EntryPayload, HardState, MemberId, Membership, RestoredState, Snapshot,
};
use chicory_storage::{Disk, FolderIdentity, GroupStorage, MemoryDisk};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

/// One call of `persist`, with indices relative to the log so far.
#[derive(Clone, Debug)]
struct Write {
    changes_hard_state: bool,
    truncated: Option<u8>,
    appended: u8,
    snapshot_at: Option<u8>,
    installs_snapshot: bool,
}

#[derive(Clone, Debug)]
enum Operation {
    Write(Write),
    Reopen { kept_bytes: usize },
    FailSync { successes: u64 },
    FillUp { free_bytes: usize },
}

/// The state that the storage should contain, as plain values.
#[derive(Clone, Debug, Default, PartialEq)]
struct Model {
    hard_state: HardState,
    snapshot: Option<Snapshot>,
    entries: Vec<Entry>,
}

/// The arguments of one call of `persist`.
type PersistArguments = (Option<HardState>, Option<u64>, Vec<Entry>, Option<Snapshot>);

impl Model {
    fn snapshot_index(&self) -> u64 {
        self.snapshot
            .as_ref()
            .map_or(0, |model_snapshot| model_snapshot.last_index)
    }

    fn last_index(&self) -> u64 {
        self.snapshot_index() + self.entries.len() as u64
    }

    /// Converts a relative write to the arguments of a call that a replica could make.
    fn call(&self, write: &Write, term: u64) -> PersistArguments {
        let hard_state = write.changes_hard_state.then(|| HardState {
            term,
            voted_for: Some(MemberId::new("vm-b", term)),
        });
        if write.installs_snapshot {
            let last_index = self.last_index() + 5;
            return (
                hard_state,
                Some(last_index + 1),
                vec![],
                Some(snapshot(last_index)),
            );
        }
        let cut = write
            .truncated
            .map(|count| u64::from(count).min(self.entries.len() as u64));
        let last = self.last_index() - cut.unwrap_or(0);
        let entries = (1..=u64::from(write.appended)).map(|offset| entry(last + offset, term));
        let kept = last - self.snapshot_index();
        let snapshot_taken = write.snapshot_at.map(|offset| u64::from(offset).min(kept));
        let snapshot_taken = snapshot_taken
            .filter(|offset| *offset > 0)
            .map(|offset| snapshot(self.snapshot_index() + offset));
        (
            hard_state,
            cut.map(|_| last + 1),
            entries.collect(),
            snapshot_taken,
        )
    }

    fn apply(&mut self, call: PersistArguments) {
        let (hard_state, truncate_from, entries, snapshot) = call;
        self.hard_state = hard_state.unwrap_or(self.hard_state.clone());
        self.entries
            .retain(|model_entry| truncate_from.is_none_or(|from| model_entry.index < from));
        if let Some(snapshot) = snapshot {
            self.entries
                .retain(|model_entry| model_entry.index > snapshot.last_index);
            self.snapshot = Some(snapshot);
        }
        self.entries.extend(entries);
    }
}

fn entry(index: u64, term: u64) -> Entry {
    Entry {
        index,
        term,
        payload: EntryPayload::Command(vec![9; 11]),
    }
}

fn snapshot(last_index: u64) -> Snapshot {
    Snapshot {
        last_index,
        last_term: 1,
        membership: Membership::of_voters([MemberId::new("vm-a", 1)]),
        data: last_index.to_le_bytes().to_vec(),
    }
}

fn open(disk: &MemoryDisk, incarnation: u64) -> (GroupStorage, RestoredState) {
    let identity = FolderIdentity {
        cluster: "harbour".into(),
        vm: "vm-a".into(),
        zone: "north".into(),
        incarnation,
    };
    let boxed: Box<dyn Disk> = Box::new(disk.clone());
    let (mut storage, restored) = GroupStorage::open(boxed, &identity, "g").expect("readable");
    storage.set_segment_bytes(150);
    (storage, restored)
}

fn operation() -> impl Strategy<Value = Operation> {
    let small_number = || proptest::option::weighted(0.2, 0..4_u8);
    let write = (
        any::<bool>(),
        small_number(),
        0..4_u8,
        small_number(),
        proptest::bool::weighted(0.05),
    );
    let write = write.prop_map(
        |(changes_hard_state, truncated, appended, snapshot_at, installs_snapshot)| Write {
            changes_hard_state,
            truncated,
            appended,
            snapshot_at,
            installs_snapshot,
        },
    );
    prop_oneof![
        10 => write.prop_map(Operation::Write),
        2 => (0..200_usize).prop_map(|kept_bytes| Operation::Reopen { kept_bytes }),
        1 => (0..4_u64).prop_map(|successes| Operation::FailSync { successes }),
        1 => (0..300_usize).prop_map(|free_bytes| Operation::FillUp { free_bytes }),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 500,
        rng_seed: RngSeed::Fixed(53),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn storage_matches_the_model(operations in proptest::collection::vec(operation(), 1..60)) {
        let disk = MemoryDisk::default();
        let mut storage = open(&disk, 1).0;
        let mut durable = Model::default();
        // The state including the last write if that one failed: after a crash, the write may be
        // found or not.
        let mut uncertain: Option<Model> = None;
        for (operation, term) in operations
            .into_iter()
            .chain([Operation::Reopen { kept_bytes: 0 }])
            .zip(2..)
        {
            match operation {
                Operation::Write(write) if uncertain.is_none() => {
                    let call = durable.call(&write, term);
                    let mut next = durable.clone();
                    next.apply(call.clone());
                    match storage.persist(call.0, call.1, call.2, call.3) {
                        Ok(()) => durable = next,
                        Err(_) => uncertain = Some(next),
                    }
                }
                Operation::Write(_) => {
                    prop_assert!(storage.persist(None, None, vec![], None).is_err());
                }
                Operation::FailSync { successes } => disk.fail_sync_after(successes),
                Operation::FillUp { free_bytes } => {
                    let used: usize = disk.files().iter().map(|(_, len)| len).sum();
                    disk.set_capacity_bytes(Some((used + free_bytes) as u64));
                }
                Operation::Reopen { kept_bytes } => {
                    disk.set_capacity_bytes(None);
                    disk.crash(kept_bytes);
                    let (reopened_storage, restored) = open(&disk, term);
                    prop_assert!(restored.may_vote, "{:?}", reopened_storage.damage());
                    let found = Model {
                        hard_state: restored.hard_state,
                        snapshot: restored.snapshot,
                        entries: restored.entries,
                    };
                    let is_expected = found == durable || Some(&found) == uncertain.as_ref();
                    prop_assert!(is_expected, "{found:?}");
                    durable = found;
                    uncertain = None;
                    storage = reopened_storage;
                }
            }
        }
    }
}
