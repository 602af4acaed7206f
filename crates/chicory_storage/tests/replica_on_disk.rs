//! Tests of a replica that keeps its state in a group's storage and restarts after failures.

use std::collections::BTreeMap;
use std::time::Duration;

use chicory_consensus::{Formation, MemberId, Replica, ReplicaConfig, ReplicaEffect, ReplicaEvent};
use chicory_storage::{Disk, FolderIdentity, GroupStorage, MemoryDisk};
use googletest::prelude::*;

const NOW: Duration = Duration::from_secs(1);

/// One process: a replica, its storage and its state machine.
struct Process {
    replica: Replica,
    storage: GroupStorage,
    state: BTreeMap<u64, Vec<u8>>,
    acknowledged: Vec<u64>,
}

impl Process {
    fn start(disk: &MemoryDisk, incarnation: u64) -> Self {
        let identity = FolderIdentity {
            cluster: "harbour".into(),
            vm: "vm-a".into(),
            zone: "north".into(),
            incarnation,
        };
        let boxed: Box<dyn Disk> = Box::new(disk.clone());
        let (storage, restored) = GroupStorage::open(boxed, &identity, "g").expect("readable");
        let member = MemberId::new("vm-a", storage.incarnation());
        let config = ReplicaConfig::builder(member, vec!["vm-a".into()])
            .formation(Formation::Unanimous)
            .snapshot_after_entries(5)
            .trailing_entries(0)
            .build();
        let mut process = Self {
            replica: Replica::new(config.expect("valid settings"), restored, NOW),
            storage,
            state: BTreeMap::new(),
            acknowledged: Vec::new(),
        };
        process.handle_event(ReplicaEvent::Tick);
        process
    }

    fn handle_event(&mut self, event: ReplicaEvent) {
        for effect in self.replica.reduce(NOW, event) {
            self.carry_out_effect(effect);
        }
    }

    fn carry_out_effect(&mut self, effect: ReplicaEffect) {
        match effect {
            ReplicaEffect::Persist {
                ticket,
                hard_state,
                truncate_from,
                snapshot,
                entries,
            } => {
                let written = self
                    .storage
                    .persist(hard_state, truncate_from, entries, snapshot);
                self.handle_event(match written {
                    Ok(()) => ReplicaEvent::Persisted { ticket },
                    Err(_) => ReplicaEvent::PersistFailed { ticket },
                });
            }
            ReplicaEffect::Apply {
                index,
                command,
                proposal_id,
                ..
            } => {
                self.state.insert(index, command);
                self.acknowledged.extend(proposal_id);
            }
            ReplicaEffect::InstallSnapshot { data, .. } => {
                let indexed_commands = data.chunks(9).map(|indexed_command| {
                    let index =
                        u64::from_le_bytes(indexed_command[..8].try_into().expect("8 bytes"));
                    (index, indexed_command[8..].to_vec())
                });
                self.state = indexed_commands.collect();
            }
            ReplicaEffect::TakeSnapshot { index } => {
                let indexed_commands = self.state.iter();
                let data = indexed_commands.flat_map(|(index, command)| {
                    index
                        .to_le_bytes()
                        .into_iter()
                        .chain(command.iter().copied())
                });
                let data = data.collect();
                self.handle_event(ReplicaEvent::SnapshotTaken { index, data });
            }
            _ => {}
        }
    }

    fn propose(&mut self, command: u8) {
        self.handle_event(ReplicaEvent::Propose {
            proposal_id: u64::from(command),
            command: vec![command],
        });
    }
}

#[gtest]
fn acknowledged_commands_survive_a_failed_sync_and_a_crash() {
    for successful_syncs in 0..60 {
        let disk = MemoryDisk::default();
        let mut process = Process::start(&disk, 1);
        disk.fail_sync_after(successful_syncs);
        for command in 0..40 {
            process.propose(command);
        }
        let is_failed = process.acknowledged.len() < 40;
        expect_that!(process.replica.is_leader(), eq(!is_failed));
        disk.crash(usize::try_from(successful_syncs).expect("small") * 3);
        let restarted = Process::start(&disk, 2);
        let found: Vec<u8> = restarted.state.values().flatten().copied().collect();
        for command in process.acknowledged {
            expect_that!(
                found
                    .iter()
                    .map(|byte| u64::from(*byte))
                    .collect::<Vec<_>>(),
                contains(eq(&command))
            );
        }
        expect_true!(restarted.replica.is_leader());
    }
}

#[gtest]
fn full_disk_stops_the_replica_until_a_restart() {
    let disk = MemoryDisk::default();
    let mut process = Process::start(&disk, 1);
    process.propose(1);
    disk.set_capacity_bytes(Some(0));
    process.propose(2);
    expect_that!(process.acknowledged, eq(&[1]));
    expect_false!(process.replica.has_leader_lease(NOW));
    disk.set_capacity_bytes(None);
    let mut restarted = Process::start(&disk, 2);
    restarted.propose(3);
    expect_that!(restarted.acknowledged, eq(&[3]));
    expect_that!(restarted.state.values().flatten().next(), some(eq(&1)));
}
