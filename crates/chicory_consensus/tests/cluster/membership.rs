//! Formation, incarnations, learners and the loss of members.

use std::collections::BTreeSet;
use std::time::Duration;

use chicory_consensus::{
    Formation, GroupStatus, Hello, HelloStatus, MemberId, MembershipChange, PeerMessage,
    PeerMessageBody, ProposalRejection, ReplicaEffect, ReplicaEvent,
};
use googletest::prelude::*;

use crate::harness::{Cluster, VMS};

const LONG_RUN: Duration = Duration::from_secs(20);

fn voters(cluster: &Cluster) -> BTreeSet<MemberId> {
    let leader = cluster.leader().expect("a leader");
    cluster.replica(&leader).membership().voters.clone()
}

fn await_voter(cluster: &mut Cluster, vm: &str) {
    let member = cluster.nodes[vm].member.clone();
    cluster.run_until(|c| c.leader().is_some() && voters(c).contains(&member));
}

fn founders(incarnation: u64) -> BTreeSet<MemberId> {
    VMS[..3]
        .iter()
        .map(|vm| MemberId::new(*vm, incarnation))
        .collect()
}

#[gtest]
fn group_waits_for_all_bootstrap_vms() {
    let mut cluster = Cluster::new(3, 0, 1);
    cluster.crash("vm-c");
    cluster.run_for(LONG_RUN);
    expect_that!(cluster.leader(), none());
    expect_that!(
        cluster.replica("vm-a").group_status(),
        eq(GroupStatus::Forming)
    );
}

#[gtest]
fn founders_need_only_a_majority() {
    let mut cluster = Cluster::new(3, 0, 1);
    for vm in cluster.vms() {
        cluster.crash(&vm);
    }
    cluster.formation = Formation::Founders(founders(2));
    cluster.group_epoch = 2;
    cluster.start("vm-a");
    cluster.start("vm-b");
    cluster.commit(b"x");
}

#[gtest]
fn restarted_diskless_voter_is_admitted_again() {
    for size in [3, 5] {
        let mut cluster = Cluster::with_leader(size, 0, 2);
        cluster.commit(b"x");
        let vm = cluster.follower();
        cluster.restart(&vm);
        await_voter(&mut cluster, &vm);
        expect_that!(voters(&cluster), len(eq(size)));
        expect_that!(cluster.nodes[&vm].state, len(eq(1)));
    }
}

#[gtest]
fn restarted_diskless_leader_is_admitted_again() {
    let mut cluster = Cluster::with_leader(3, 0, 3);
    cluster.commit(b"x");
    let vm = cluster.leader().expect("a leader");
    cluster.restart(&vm);
    await_voter(&mut cluster, &vm);
    expect_that!(cluster.nodes[&vm].state, len(eq(1)));
}

#[gtest]
fn leader_crash_right_after_a_voter_is_admitted_again() {
    for seed in 0..10 {
        let mut cluster = Cluster::with_leader(3, 0, seed);
        cluster.commit(b"x");
        let readmitted = cluster.follower();
        cluster.restart(&readmitted);
        await_voter(&mut cluster, &readmitted);
        let second = cluster.leader().expect("a leader");
        cluster.crash(&second);
        cluster.run_until(|c| c.leader().is_some_and(|successor| successor != second));
        cluster.commit(b"y");
    }
}

#[gtest]
fn learner_without_the_log_does_not_count() {
    let mut cluster = Cluster::with_leader(3, 0, 4);
    let leader = cluster.leader().expect("a leader");
    let restarted = cluster.follower();
    cluster
        .cut_links
        .insert((leader.clone(), restarted.clone()));
    cluster.restart(&restarted);
    cluster.run_for(Duration::from_secs(3));
    let membership = cluster.replica(&leader).membership().clone();
    expect_that!(membership.voters, len(eq(2)));
    expect_that!(membership.learners, len(eq(1)));
    let third = membership.voters.iter().find(|m| m.vm != leader);
    cluster.crash(&third.expect("a third member").vm);
    cluster.propose(&leader, b"x");
    cluster.run_for(LONG_RUN);
    expect_true!(cluster.acknowledged.is_empty());
}

#[gtest]
fn restarted_majority_does_not_form_a_new_group() {
    let mut cluster = Cluster::with_leader(3, 0, 5);
    cluster.commit(b"x");
    let leader = cluster.leader().expect("a leader");
    for vm in cluster.vms().iter().filter(|vm| **vm != leader) {
        cluster.restart(vm);
    }
    cluster.run_for(LONG_RUN);
    expect_that!(cluster.leader(), none());
}

#[gtest]
fn restarted_diskless_group_waits_for_a_new_epoch() {
    let mut cluster = Cluster::with_leader(3, 0, 6);
    cluster.commit(b"x");
    for vm in cluster.vms() {
        cluster.crash(&vm);
    }
    cluster.start_all();
    cluster.run_for(LONG_RUN);
    expect_that!(cluster.leader(), none());
    let status = cluster.replica("vm-a").group_status();
    expect_that!(status, eq(GroupStatus::AwaitingAdmission));
}

#[gtest]
fn restarted_founders_do_not_form_a_used_epoch_again() {
    let mut cluster = Cluster::new(3, 0, 6);
    cluster.formation = Formation::Founders(founders(2));
    cluster.group_epoch = 2;
    for _ in 0..2 {
        for vm in cluster.vms() {
            cluster.crash(&vm);
        }
        cluster.start_all();
    }
    cluster.run_for(LONG_RUN);
    expect_that!(cluster.leader(), none());
}

#[gtest]
fn restarted_group_with_disks_keeps_everything() {
    let mut cluster = Cluster::with_leader(3, 3, 7);
    cluster.commit(b"x");
    for vm in cluster.vms() {
        cluster.crash(&vm);
    }
    cluster.start_all();
    cluster.commit(b"y");
    cluster.run_for(Duration::from_secs(1));
    for node in cluster.nodes.values() {
        expect_that!(node.state, len(eq(2)));
    }
}

/// Crashes `count` members, starting with the leader.
fn crash_members(cluster: &mut Cluster, count: usize) {
    let leader = cluster.leader().expect("a leader");
    let others = cluster.vms().into_iter().filter(|vm| *vm != leader);
    let lost: Vec<_> = [leader.clone()]
        .into_iter()
        .chain(others)
        .take(count)
        .collect();
    for vm in lost {
        cluster.crash(&vm);
    }
}

#[gtest]
fn simultaneous_crashes_tolerated_by_group_size() {
    for (size, tolerated) in [(1, 0), (2, 0), (3, 1), (4, 1), (5, 2), (6, 2), (7, 3)] {
        for disk_count in [0, size] {
            let mut cluster = Cluster::with_leader(size, disk_count, 9);
            cluster.commit(b"x");
            crash_members(&mut cluster, tolerated);
            cluster.commit(b"y");
            cluster.check_logs();
            let mut cluster = Cluster::with_leader(size, disk_count, 9);
            cluster.commit(b"x");
            crash_members(&mut cluster, tolerated + 1);
            cluster.run_for(LONG_RUN);
            expect_that!(cluster.leader(), none(), "{size} members");
        }
    }
}

#[gtest]
fn successive_restarts_are_tolerated_when_each_member_is_admitted_again() {
    let mut cluster = Cluster::with_leader(3, 0, 10);
    cluster.commit(b"x");
    for round in 0..9_u8 {
        let vm = cluster.vms()[usize::from(round) % 3].clone();
        cluster.restart(&vm);
        await_voter(&mut cluster, &vm);
        cluster.commit(&[round]);
    }
    cluster.run_for(Duration::from_secs(1));
    for node in cluster.nodes.values() {
        expect_that!(node.state, len(eq(10)));
    }
}

#[gtest]
fn message_of_a_greater_epoch_supersedes_the_group() {
    let mut cluster = Cluster::with_leader(3, 0, 8);
    let leader = cluster.leader().expect("a leader");
    let sender = MemberId::new(cluster.follower(), 9);
    let event = ReplicaEvent::Received {
        from: sender.clone(),
        message: PeerMessage {
            group_epoch: 2,
            from: sender,
            to: MemberId::any_incarnation_of(&leader),
            body: PeerMessageBody::Hello(Hello {
                status: HelloStatus::Formed,
                leader: None,
            }),
        },
    };
    cluster.feed(&leader, event);
    expect_that!(
        cluster.replica(&leader).group_status(),
        eq(GroupStatus::Superseded)
    );
    expect_that!(cluster.leader(), none());
}

#[gtest]
fn five_voters_tolerate_two_simultaneous_crashes() {
    for seed in 0..5 {
        let mut cluster = Cluster::with_leader(5, 0, seed);
        cluster.commit(b"x");
        let first = cluster.leader().expect("a leader");
        let second = cluster.follower();
        cluster.crash(&first);
        cluster.crash(&second);
        cluster.run_until(|c| c.leader().is_some());
        cluster.commit(b"y");
        cluster.start(&first);
        cluster.start(&second);
        await_voter(&mut cluster, &first);
        await_voter(&mut cluster, &second);
        expect_that!(voters(&cluster), len(eq(5)));
    }
}

#[gtest]
fn diskless_voter_restarted_during_an_election() {
    for seed in 0..40 {
        let mut cluster = Cluster::with_leader(5, 0, seed);
        cluster.commit(b"x");
        let leader = cluster.leader().expect("a leader");
        cluster.crash(&leader);
        let voter = cluster.vms().into_iter().find(|vm| *vm != leader);
        let voter = voter.expect("a follower");
        cluster.run_for(Duration::from_millis(380 + seed * 10));
        cluster.restart(&voter);
        cluster.run_until(|c| c.leader().is_some());
        cluster.commit(b"y");
        cluster.check_logs();
    }
}

/// Proposes membership changes and returns the reason for each rejection.
fn rejections(
    cluster: &mut Cluster,
    vm: &str,
    changes: &[MembershipChange],
) -> Vec<ProposalRejection> {
    let now = cluster.now;
    let node = cluster.nodes.get_mut(vm).expect("known VM");
    let local_time = node.local_time(now);
    let replica = node.replica.as_mut().expect("running");
    let events = changes
        .iter()
        .map(|change| ReplicaEvent::ProposeMembership {
            proposal_id: 1,
            change: change.clone(),
        });
    let effects = events.flat_map(|event| replica.reduce(local_time, event));
    let rejected = effects.filter_map(|effect| match effect {
        ReplicaEffect::Rejected { reason, .. } => Some(reason),
        _ => None,
    });
    rejected.collect()
}

#[gtest]
fn requested_membership_changes_run_one_at_a_time() {
    let mut cluster = Cluster::with_leader(3, 0, 11);
    let leader = cluster.leader().expect("a leader");
    let follower = cluster.follower();
    let new_member = MemberId::new("vm-x", 1);
    let add = MembershipChange::AddLearner(new_member.clone());
    let hint = Some(MemberId::new(&leader, 1));
    let at_follower = rejections(&mut cluster, &follower, std::slice::from_ref(&add));
    expect_that!(
        at_follower,
        eq(&[ProposalRejection::NotLeader { leader: hint }])
    );
    let promote = MembershipChange::Promote(new_member.clone());
    let invalid = rejections(&mut cluster, &leader, std::slice::from_ref(&promote));
    expect_that!(invalid, eq(&[ProposalRejection::InvalidMembershipChange]));
    let both = rejections(&mut cluster, &leader, &[add, promote]);
    expect_that!(both, eq(&[ProposalRejection::MembershipChangeInProgress]));
    cluster.run_for(Duration::from_secs(1));
    let membership = cluster.replica(&leader).membership();
    expect_true!(membership.learners.contains(&new_member));
    expect_that!(membership.voters, len(eq(3)));
}

#[gtest]
fn removed_leader_steps_down() {
    let mut cluster = Cluster::with_leader(3, 0, 12);
    let leader = cluster.leader().expect("a leader");
    let remove = MembershipChange::Remove(MemberId::new(&leader, 1));
    expect_that!(rejections(&mut cluster, &leader, &[remove]), is_empty());
    cluster.run_until(|c| c.leader().is_some_and(|successor| successor != leader));
    cluster.commit(b"x");
}
