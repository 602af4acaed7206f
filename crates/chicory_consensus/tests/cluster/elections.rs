//! Elections, leases and replication among fixed members.

use std::time::Duration;

use chicory_consensus::{LEADER_LEASE, MemberId, PeerMessage, PeerMessageBody, ReplicaEvent, Role};
use googletest::prelude::*;

use crate::harness::{Cluster, VMS};

/// Longest time of one election: the spread of first deadlines, two rounds of messages and two
/// fsyncs.
const ELECTION_TIME: Duration = Duration::from_millis(250);

#[gtest]
fn group_forms_and_commits() {
    for disk_count in [0, 3] {
        let mut cluster = Cluster::with_leader(3, disk_count, 1);
        cluster.commit(b"x");
        cluster.run_for(Duration::from_millis(300));
        for node in cluster.nodes.values() {
            expect_that!(node.state, len(eq(1)));
        }
        expect_that!(cluster.replica("vm-a").membership().voters, len(eq(3)));
    }
}

#[gtest]
fn entry_acknowledged_before_a_leader_crash_survives() {
    for seed in 0..100 {
        let mut cluster = Cluster::with_leader(3, 0, seed);
        let leader = cluster.leader().expect("a leader");
        cluster.propose(&leader, b"x");
        cluster.run_until(|c| !c.acknowledged.is_empty());
        cluster.crash(&leader);
        let killed_at = cluster.now;
        cluster.run_until(|c| c.leader().is_some_and(|successor| successor != leader));
        let outage = cluster.now.saturating_sub(killed_at);
        expect_that!(outage, lt(Duration::from_millis(1_200)), "seed {seed}");
        let next = cluster.leader().expect("a leader");
        expect_that!(cluster.nodes[&next].state, len(eq(1)));
    }
}

/// Guards against a long outage after all VMs lose power at once: no caller is served until there
/// is a leader again.
#[gtest]
fn group_restarted_together_elects_a_leader_quickly() {
    for seed in 0..100 {
        let mut cluster = Cluster::with_leader(3, 3, seed);
        for vm in cluster.vms() {
            cluster.crash(&vm);
        }
        cluster.run_for(Duration::from_secs(1));
        for vm in cluster.vms() {
            cluster.start(&vm);
            cluster.run_for(Duration::from_millis(20));
        }
        let started_at = cluster.now;
        cluster.await_leader();
        let outage = cluster.now.saturating_sub(started_at);
        // Restarted members first wait until the lease of a former leader has expired; then one
        // election takes place.
        expect_that!(outage, lt(LEADER_LEASE + ELECTION_TIME), "seed {seed}");
    }
}

#[gtest]
fn paused_leader_does_not_use_its_lease() {
    let mut cluster = Cluster::with_leader(3, 0, 2);
    let former_leader = cluster.leader().expect("a leader");
    cluster.pause(&former_leader);
    cluster.run_until(|c| {
        c.leader()
            .is_some_and(|successor| successor != former_leader)
    });
    cluster.commit(b"x");
    expect_false!(cluster.nodes[&former_leader].has_lease(cluster.now));
    cluster.resume(&former_leader);
    expect_false!(cluster.nodes[&former_leader].has_lease(cluster.now));
    cluster.run_for(Duration::from_secs(1));
    expect_that!(cluster.replica(&former_leader).role(), eq(Role::Follower));
    expect_that!(cluster.nodes[&former_leader].state, len(eq(1)));
}

#[gtest]
fn lease_of_a_paused_leader_ends_before_the_next_election() {
    for seed in 0..20 {
        let mut cluster = Cluster::with_leader(3, 0, seed);
        for (i, vm) in VMS[..3].iter().enumerate() {
            let node = cluster.nodes.get_mut(*vm).expect("known VM");
            let rate = if i == 0 { 1_020 } else { 1_000 };
            node.clock_rate_permille = rate.max(node.clock_rate_permille);
        }
        let former_leader = cluster.leader().expect("a leader");
        cluster.pause(&former_leader);
        cluster.run_until(|c| c.leader().is_none());
        cluster.run_until(|c| c.leader().is_some());
    }
}

#[gtest]
fn cut_off_leader_steps_down() {
    let mut cluster = Cluster::with_leader(3, 0, 3);
    let former_leader = cluster.leader().expect("a leader");
    cluster.isolate(&former_leader);
    cluster.propose(&former_leader, b"lost");
    cluster.run_for(Duration::from_secs(2));
    expect_false!(cluster.replica(&former_leader).is_leader());
    cluster.commit(b"kept");
    cluster.reconnect_all();
    cluster.run_for(Duration::from_secs(2));
    let commands: Vec<_> = cluster.nodes[&former_leader]
        .state
        .iter()
        .map(|s| &s.1[..])
        .collect();
    expect_that!(commands, eq(&[b"kept"]));
}

#[gtest]
fn long_isolated_member_does_not_raise_the_term() {
    let mut cluster = Cluster::with_leader(3, 0, 4);
    let leader = cluster.leader().expect("a leader");
    let term = cluster.replica(&leader).term();
    let isolated = cluster.follower();
    cluster.isolate(&isolated);
    cluster.run_for(Duration::from_secs(30));
    expect_that!(cluster.replica(&isolated).term(), eq(term));
    cluster.reconnect_all();
    cluster.run_for(Duration::from_secs(5));
    expect_that!(cluster.leader(), some(eq(&leader)));
    expect_that!(cluster.replica(&leader).term(), eq(term));
}

#[gtest]
fn one_way_cut_does_not_depose_the_leader() {
    let mut cluster = Cluster::with_leader(3, 0, 5);
    let leader = cluster.leader().expect("a leader");
    let unreached = cluster.follower();
    cluster.cut_links.insert((leader.clone(), unreached));
    cluster.run_for(Duration::from_secs(10));
    expect_that!(cluster.leader(), some(eq(&leader)));
}

#[gtest]
fn vote_waits_for_the_lease_of_the_leader() {
    let mut cluster = Cluster::with_leader(3, 0, 6);
    let leader = cluster.leader().expect("a leader");
    let voter = cluster.follower();
    let other = VMS[..3].iter().find(|vm| **vm != leader && **vm != voter);
    let candidate = MemberId::new(*other.expect("a third VM"), 1);
    let term = cluster.replica(&leader).term();
    let request = PeerMessage {
        group_epoch: 1,
        from: candidate.clone(),
        to: MemberId::new(&voter, 1),
        body: PeerMessageBody::RequestVote {
            term: term + 1,
            last_index: 1_000,
            last_term: term,
            is_transfer: false,
        },
    };
    let event = ReplicaEvent::Received {
        from: candidate,
        message: request,
    };
    cluster.feed(&voter, event);
    expect_that!(cluster.replica(&voter).term(), eq(term));
}

#[gtest]
fn duplicated_and_reordered_messages_change_nothing() {
    for seed in 0..5 {
        let mut cluster = Cluster::with_leader(3, 1, seed);
        cluster.network.duplicate_percent = 40;
        cluster.network.max_delay = Duration::from_millis(60);
        for i in 0..40_u8 {
            let leader = cluster.await_leader();
            cluster.propose(&leader, &[i]);
            cluster.run_for(Duration::from_millis(5));
        }
        cluster.run_for(Duration::from_secs(2));
        expect_that!(cluster.acknowledged, len(eq(40)));
        cluster.check_logs();
    }
}

#[gtest]
fn requested_leadership_transfer_avoids_an_outage() {
    let mut cluster = Cluster::with_leader(3, 0, 7);
    let former_leader = cluster.leader().expect("a leader");
    cluster.commit(b"x");
    cluster.feed(&former_leader, ReplicaEvent::TransferLeadership);
    cluster.run_for(Duration::from_millis(50));
    let next = cluster.leader();
    expect_that!(next, some(not(eq(&former_leader))));
}
