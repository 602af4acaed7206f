//! Snapshots that are taken and sent while entries are proposed.

use std::time::Duration;

use chicory_consensus::{
    MemberId, Membership, PeerMessage, PeerMessageBody, ReplicaEvent, SnapshotHeader,
};
use googletest::prelude::*;

use crate::harness::Cluster;

fn propose_steadily(cluster: &mut Cluster, count: u8) {
    for i in 0..count {
        if let Some(leader) = cluster.leader() {
            cluster.propose(&leader, &[i; 20]);
        }
        cluster.run_for(Duration::from_millis(20));
    }
}

#[gtest]
fn member_catches_up_by_snapshot_while_entries_are_proposed() {
    for loss_percent in [0, 15] {
        let mut cluster = Cluster::new(3, 0, 1);
        cluster.snapshot_after_entries = 10;
        for vm in cluster.vms() {
            cluster.crash(&vm);
        }
        cluster = restarted_with_founders(cluster);
        cluster.network.loss_percent = loss_percent;
        cluster.await_leader();
        let behind = cluster.follower();
        cluster.isolate(&behind);
        propose_steadily(&mut cluster, 60);
        cluster.reconnect_all();
        propose_steadily(&mut cluster, 60);
        cluster.network.loss_percent = 0;
        cluster.run_for(Duration::from_secs(2));
        let node = &cluster.nodes[&behind];
        expect_that!(cluster.replica(&behind).snapshot_index(), gt(50));
        expect_that!(node.state.len(), ge(cluster.acknowledged.len()));
        cluster.check_logs();
    }
}

fn restarted_with_founders(mut cluster: Cluster) -> Cluster {
    cluster.group_epoch = 2;
    let members = cluster.vms().into_iter().map(|vm| MemberId::new(vm, 2));
    cluster.formation = chicory_consensus::Formation::Founders(members.collect());
    cluster.start_all();
    cluster
}

#[gtest]
fn restart_from_snapshot_and_log() {
    let mut cluster = Cluster::new(3, 3, 2);
    cluster.snapshot_after_entries = 10;
    for vm in cluster.vms() {
        cluster.restart(&vm);
    }
    cluster.await_leader();
    propose_steadily(&mut cluster, 45);
    let vm = cluster.follower();
    cluster.restart(&vm);
    cluster.run_for(Duration::from_secs(2));
    expect_that!(cluster.nodes[&vm].state, len(eq(45)));
    cluster.check_logs();
}

#[gtest]
fn late_chunk_of_an_old_snapshot_drops_no_acknowledged_entry() {
    let mut cluster = Cluster::with_leader(3, 0, 3);
    for i in 0..10 {
        cluster.commit(&[i]);
    }
    let leader = cluster.leader().expect("a leader");
    let follower = cluster.follower();
    let last_index = cluster.replica(&follower).last_index();
    let from = MemberId::new(&leader, 1);
    let term = cluster.replica(&leader).term();
    let chunk = PeerMessage {
        group_epoch: 1,
        from: from.clone(),
        to: MemberId::new(&follower, 1),
        body: PeerMessageBody::SnapshotChunk {
            term,
            header: SnapshotHeader {
                last_index: 4,
                last_term: term,
                membership: Membership::default(),
                size_bytes: 0,
            },
            offset_bytes: 0,
            data: Vec::new(),
            sent_at: Duration::ZERO,
        },
    };
    let event = ReplicaEvent::Received {
        from,
        message: chunk,
    };
    cluster.feed(&follower, event);
    expect_that!(cluster.replica(&follower).last_index(), eq(last_index));
}
