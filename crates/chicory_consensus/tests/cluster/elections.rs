//! Elections, leases and replication among fixed members.

use std::time::Duration;

use chicory_consensus::{LEADER_LEASE, MemberId, PeerMessage, PeerMessageBody, ReplicaEvent, Role};
use googletest::prelude::*;

use crate::harness::{Cluster, VMS};

/// Time that one election may take: a spread of first deadlines, two rounds of messages and two syncs.
const ELECTION_TIME: Duration = Duration::from_millis(250);

#[gtest]
fn group_forms_and_commits() {
    for disks in [0, 3] {
        let mut cluster = Cluster::with_leader(3, disks, 1);
        cluster.commit(b"x");
        cluster.run_for(Duration::from_millis(300));
        for node in cluster.nodes.values() {
            expect_that!(node.state, len(eq(1)));
        }
        expect_that!(cluster.replica("vm-a").membership().voters, len(eq(3)));
    }
}

#[gtest]
fn leader_killed_with_an_answer_on_the_way() {
    for seed in 0..100 {
        let mut cluster = Cluster::with_leader(3, 0, seed);
        let leader = cluster.leader().expect("a leader");
        cluster.propose(&leader, b"x");
        cluster.run_until(|c| !c.acknowledged.is_empty());
        cluster.crash(&leader);
        let killed_at = cluster.now;
        cluster.run_until(|c| c.leader().is_some_and(|l| l != leader));
        let gap = cluster.now.saturating_sub(killed_at);
        expect_that!(gap, lt(Duration::from_millis(1_200)), "seed {seed}");
        let next = cluster.leader().expect("a leader");
        expect_that!(cluster.nodes[&next].state, len(eq(1)));
    }
}

/// All VMs lose power at once: nobody is served before there is a leader again.
#[gtest]
fn group_that_starts_again_at_once_soon_has_a_leader() {
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
        let gap = cluster.now.saturating_sub(started_at);
        // Members that restart owe a former leader its lease; then comes one election.
        expect_that!(gap, lt(LEADER_LEASE + ELECTION_TIME), "seed {seed}");
    }
}

#[gtest]
fn paused_leader_does_not_use_its_lease() {
    let mut cluster = Cluster::with_leader(3, 0, 2);
    let old = cluster.leader().expect("a leader");
    cluster.pause(&old);
    cluster.run_until(|c| c.leader().is_some_and(|l| l != old));
    cluster.commit(b"x");
    expect_false!(cluster.nodes[&old].has_lease(cluster.now));
    cluster.resume(&old);
    expect_false!(cluster.nodes[&old].has_lease(cluster.now));
    cluster.run_for(Duration::from_secs(1));
    expect_that!(cluster.replica(&old).role(), eq(Role::Follower));
    expect_that!(cluster.nodes[&old].state, len(eq(1)));
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
        let old = cluster.leader().expect("a leader");
        cluster.pause(&old);
        cluster.run_until(|c| c.leader().is_none());
        cluster.run_until(|c| c.leader().is_some());
    }
}

#[gtest]
fn cut_off_leader_steps_down() {
    let mut cluster = Cluster::with_leader(3, 0, 3);
    let old = cluster.leader().expect("a leader");
    cluster.isolate(&old);
    cluster.propose(&old, b"lost");
    cluster.run_for(Duration::from_secs(2));
    expect_false!(cluster.replica(&old).is_leader());
    cluster.commit(b"kept");
    cluster.heal();
    cluster.run_for(Duration::from_secs(2));
    let commands: Vec<_> = cluster.nodes[&old].state.iter().map(|s| &s.1[..]).collect();
    expect_that!(commands, eq(&[b"kept"]));
}

#[gtest]
fn long_isolated_member_raises_no_term() {
    let mut cluster = Cluster::with_leader(3, 0, 4);
    let leader = cluster.leader().expect("a leader");
    let term = cluster.replica(&leader).term();
    let isolated = cluster.follower();
    cluster.isolate(&isolated);
    cluster.run_for(Duration::from_secs(30));
    expect_that!(cluster.replica(&isolated).term(), eq(term));
    cluster.heal();
    cluster.run_for(Duration::from_secs(5));
    expect_that!(cluster.leader(), some(eq(&leader)));
    expect_that!(cluster.replica(&leader).term(), eq(term));
}

#[gtest]
fn one_way_cut_does_not_unseat_the_leader() {
    let mut cluster = Cluster::with_leader(3, 0, 5);
    let leader = cluster.leader().expect("a leader");
    let deaf = cluster.follower();
    cluster.cuts.insert((leader.clone(), deaf));
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
fn doubled_and_reordered_messages_change_nothing() {
    for seed in 0..5 {
        let mut cluster = Cluster::with_leader(3, 1, seed);
        cluster.network.double_percent = 40;
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
fn leadership_moves_on_request_without_an_outage() {
    let mut cluster = Cluster::with_leader(3, 0, 7);
    let old = cluster.leader().expect("a leader");
    cluster.commit(b"x");
    cluster.feed(&old, ReplicaEvent::TransferLeadership);
    cluster.run_for(Duration::from_millis(50));
    let next = cluster.leader();
    expect_that!(next, some(not(eq(&old))));
}
