//! Benchmarks of committed entries per second with three voters, and of the cost of an idle group.

use std::collections::VecDeque;
use std::hint::black_box;
use std::time::Duration;

use chicory_consensus::{
    Formation, MemberId, PeerMessage, Replica, ReplicaConfig, ReplicaEffect, ReplicaEvent,
    RestoredState,
};
use chicory_storage::{DataFolder, FolderIdentity, GroupStorage};
use chicory_wire::proto::consensus::GroupName;
use criterion::{Criterion, Throughput, criterion_group, criterion_main};
use prost::Message;
use tempfile::TempDir;

const VMS: [&str; 7] = ["vm-a", "vm-b", "vm-c", "vm-d", "vm-e", "vm-f", "vm-g"];
const COMMAND_BYTES: usize = 64;

/// The storage of a member, in a temporary folder that is removed when this is dropped.
struct Store {
    storage: GroupStorage,
    _dir: TempDir,
}

impl Store {
    fn new(vm: &str) -> Self {
        let dir = tempfile::tempdir().expect("a folder");
        let identity = FolderIdentity {
            cluster: "harbour".into(),
            vm: vm.into(),
            zone: "north".into(),
            incarnation: 1,
        };
        let folder = DataFolder::open(dir.path(), &identity).expect("opened");
        let opened = GroupStorage::open(folder.disk(), folder.identity(), "bench");
        Self {
            storage: opened.expect("readable").0,
            _dir: dir,
        }
    }
}

/// A group of voters whose messages arrive without delay.
struct Group {
    now: Duration,
    replicas: Vec<Replica>,
    stores: Vec<Option<Store>>,
    events: VecDeque<(usize, ReplicaEvent)>,
    committed: usize,
    messages: u64,
    /// Encoded size of the messages; `None` when it isn't counted, since counting takes time.
    bytes: Option<u64>,
}

impl Group {
    fn new(size: usize, has_storage: bool) -> Self {
        let now = Duration::from_secs(1);
        let members = &VMS[..size];
        let vms: Vec<String> = members.iter().map(|vm| (*vm).to_owned()).collect();
        let replicas = members.iter().zip(1..).map(|(vm, seed)| {
            let config = ReplicaConfig::builder(MemberId::new(*vm, 1), vms.clone())
                .formation(Formation::Unanimous)
                .seed(seed)
                .build();
            Replica::new(config.expect("valid settings"), RestoredState::fresh(), now)
        });
        let mut group = Self {
            now,
            replicas: replicas.collect(),
            stores: members
                .iter()
                .map(|vm| has_storage.then(|| Store::new(vm)))
                .collect(),
            events: VecDeque::new(),
            committed: 0,
            messages: 0,
            bytes: None,
        };
        while group.leader().is_none() {
            group.advance(Duration::from_millis(20));
        }
        group.advance(Duration::from_secs(1));
        group
    }

    fn leader(&self) -> Option<usize> {
        self.replicas.iter().position(Replica::is_leader)
    }

    fn advance(&mut self, span: Duration) {
        let end = self.now + span;
        while let Some(due) = self.replicas.iter().map(Replica::next_wakeup).min() {
            if due > end {
                break;
            }
            self.now = self.now.max(due);
            for (member_index, replica) in self.replicas.iter().enumerate() {
                if replica.next_wakeup() <= self.now {
                    self.events.push_back((member_index, ReplicaEvent::Tick));
                }
            }
            self.run();
        }
        self.now = end;
    }

    fn run(&mut self) {
        while let Some((member_index, event)) = self.events.pop_front() {
            for effect in self.replicas[member_index].reduce(self.now, event) {
                self.carry_out_effect(member_index, effect);
            }
        }
    }

    fn carry_out_effect(&mut self, member_index: usize, effect: ReplicaEffect) {
        match effect {
            ReplicaEffect::Send { message, .. } => self.send(message),
            ReplicaEffect::Persist {
                ticket,
                hard_state,
                truncate_from,
                snapshot,
                entries,
            } => {
                if let Some(store) = &mut self.stores[member_index] {
                    let storage = &mut store.storage;
                    let written = storage.persist(hard_state, truncate_from, entries, snapshot);
                    written.expect("written");
                }
                self.events
                    .push_back((member_index, ReplicaEvent::Persisted { ticket }));
            }
            ReplicaEffect::Apply { proposal_id, .. } => {
                self.committed += usize::from(proposal_id.is_some());
            }
            ReplicaEffect::TakeSnapshot { index } => {
                let data = vec![0; 1024];
                self.events
                    .push_back((member_index, ReplicaEvent::SnapshotTaken { index, data }));
            }
            _ => {}
        }
    }

    fn send(&mut self, message: PeerMessage) {
        self.messages += 1;
        if let Some(bytes) = &mut self.bytes {
            let encoded = chicory_wire::peer_message(GroupName::Zone, message.clone());
            *bytes += encoded.encoded_len() as u64;
        }
        let to = VMS.iter().position(|vm| *vm == message.to.vm);
        let from = message.from.clone();
        let event = ReplicaEvent::Received { from, message };
        self.events.push_back((to.expect("a member"), event));
    }

    /// Proposes all entries at once and runs until the last one is committed.
    fn commit(&mut self, count: usize) {
        let leader = self.leader().expect("a leader");
        let end = self.committed + count;
        for proposal_id in 0..count as u64 {
            let event = ReplicaEvent::Propose {
                proposal_id,
                command: vec![7; COMMAND_BYTES],
            };
            self.events.push_back((leader, event));
        }
        self.run();
        assert_eq!(self.committed, end, "all proposed entries are committed");
    }
}

fn committed_entries(criterion: &mut Criterion) {
    for (name, has_storage) in [("in_memory", false), ("with_fsync", true)] {
        let mut bench = criterion.benchmark_group(format!("three_voters_{name}"));
        for count in [1, 100, 1_000] {
            let mut group = Group::new(3, has_storage);
            bench.throughput(Throughput::Elements(count as u64));
            bench.bench_function(format!("{count}_at_once"), |bencher| {
                bencher.iter(|| group.commit(count));
            });
        }
        bench.finish();
    }
}

fn idle_group(criterion: &mut Criterion) {
    for size in [3, 5, 7] {
        let mut group = Group::new(size, false);
        group.messages = 0;
        group.bytes = Some(0);
        group.advance(Duration::from_secs(100));
        let bytes = group.bytes.take().unwrap_or(0);
        println!(
            "idle group of {size}, all members together: {} messages/s, {} bytes/s",
            group.messages / 100,
            bytes / 100
        );
        criterion.bench_function(&format!("idle_group_of_{size}_per_second"), |bencher| {
            bencher.iter(|| black_box(&mut group).advance(Duration::from_secs(1)));
        });
    }
}

criterion_group!(benches, committed_entries, idle_group);
criterion_main!(benches);
