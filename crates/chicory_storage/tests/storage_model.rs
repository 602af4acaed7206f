//! The storage against a naive model, over random writes, failures and crashes.

use chicory_consensus::{
    Entry, EntryPayload, HardState, MemberId, Membership, RestoredState, Snapshot,
};
use chicory_storage::{Disk, FolderIdentity, GroupStorage, MemoryDisk};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

/// One call of `persist`, relative to the log so far.
#[derive(Clone, Debug)]
struct Write {
    votes: bool,
    truncated: Option<u8>,
    appended: u8,
    snapshot_at: Option<u8>,
    installs: bool,
}

#[derive(Clone, Debug)]
enum Op {
    Write(Write),
    Reopen { kept_bytes: usize },
    FailSync { successes: u64 },
    FillUp { free_bytes: usize },
}

/// What the storage should hold, kept as plain values.
#[derive(Clone, Debug, Default, PartialEq)]
struct Model {
    hard_state: HardState,
    snapshot: Option<Snapshot>,
    entries: Vec<Entry>,
}

/// The arguments of one call of `persist`.
type Call = (Option<HardState>, Option<u64>, Vec<Entry>, Option<Snapshot>);

impl Model {
    fn covered(&self) -> u64 {
        self.snapshot.as_ref().map_or(0, |s| s.last_index)
    }

    fn last_index(&self) -> u64 {
        self.covered() + self.entries.len() as u64
    }

    /// Turns a relative write into a call that a replica could make.
    fn call(&self, write: &Write, term: u64) -> Call {
        let hard_state = write.votes.then(|| HardState {
            term,
            voted_for: Some(MemberId::new("vm-b", term)),
        });
        if write.installs {
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
            .map(|n| u64::from(n).min(self.entries.len() as u64));
        let last = self.last_index() - cut.unwrap_or(0);
        let entries = (1..=u64::from(write.appended)).map(|n| entry(last + n, term));
        let kept = last - self.covered();
        let taken = write.snapshot_at.map(|n| u64::from(n).min(kept));
        let taken = taken
            .filter(|n| *n > 0)
            .map(|n| snapshot(self.covered() + n));
        (hard_state, cut.map(|_| last + 1), entries.collect(), taken)
    }

    fn apply(&mut self, call: Call) {
        let (hard_state, truncate_from, entries, snapshot) = call;
        self.hard_state = hard_state.unwrap_or(self.hard_state.clone());
        self.entries
            .retain(|e| truncate_from.is_none_or(|from| e.index < from));
        if let Some(snapshot) = snapshot {
            self.entries.retain(|e| e.index > snapshot.last_index);
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

fn op() -> impl Strategy<Value = Op> {
    let small = || proptest::option::weighted(0.2, 0..4_u8);
    let write = (
        any::<bool>(),
        small(),
        0..4_u8,
        small(),
        proptest::bool::weighted(0.05),
    );
    let write = write.prop_map(
        |(votes, truncated, appended, snapshot_at, installs)| Write {
            votes,
            truncated,
            appended,
            snapshot_at,
            installs,
        },
    );
    prop_oneof![
        10 => write.prop_map(Op::Write),
        2 => (0..200_usize).prop_map(|kept_bytes| Op::Reopen { kept_bytes }),
        1 => (0..4_u64).prop_map(|successes| Op::FailSync { successes }),
        1 => (0..300_usize).prop_map(|free_bytes| Op::FillUp { free_bytes }),
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
    fn storage_holds_what_the_model_holds(ops in proptest::collection::vec(op(), 1..60)) {
        let disk = MemoryDisk::default();
        let mut storage = open(&disk, 1).0;
        let mut durable = Model::default();
        // The write that failed last: it may be found or not.
        let mut doubtful: Option<Model> = None;
        for (op, term) in ops.into_iter().chain([Op::Reopen { kept_bytes: 0 }]).zip(2..) {
            match op {
                Op::Write(write) if doubtful.is_none() => {
                    let call = durable.call(&write, term);
                    let mut next = durable.clone();
                    next.apply(call.clone());
                    match storage.persist(call.0, call.1, call.2, call.3) {
                        Ok(()) => durable = next,
                        Err(_) => doubtful = Some(next),
                    }
                }
                Op::Write(_) => {
                    prop_assert!(storage.persist(None, None, vec![], None).is_err());
                }
                Op::FailSync { successes } => disk.fail_sync_after(successes),
                Op::FillUp { free_bytes } => {
                    let used: usize = disk.files().iter().map(|(_, len)| len).sum();
                    disk.set_capacity_bytes(Some((used + free_bytes) as u64));
                }
                Op::Reopen { kept_bytes } => {
                    disk.set_capacity_bytes(None);
                    disk.crash(kept_bytes);
                    let (reopened, restored) = open(&disk, term);
                    prop_assert!(restored.may_vote, "{:?}", reopened.damage());
                    let found = Model {
                        hard_state: restored.hard_state,
                        snapshot: restored.snapshot,
                        entries: restored.entries,
                    };
                    let is_known = found == durable || Some(&found) == doubtful.as_ref();
                    prop_assert!(is_known, "{found:?}");
                    durable = found;
                    doubtful = None;
                    storage = reopened;
                }
            }
        }
    }
}
