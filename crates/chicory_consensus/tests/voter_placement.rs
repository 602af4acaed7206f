//! Which members of a group with open membership get or lose a vote.

use std::collections::{BTreeMap, BTreeSet};

use chicory_consensus::{MemberId, VoterPlacement, VoterStep};
use googletest::prelude::*;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

/// A member whose zone is the number behind its letter; `?` stands for an unknown zone.
fn member(name: &str) -> MemberId {
    MemberId::new(name, 1)
}

fn members(names: &[&str]) -> BTreeSet<MemberId> {
    names.iter().map(|name| member(name)).collect()
}

fn zones_of<'a>(members: impl Iterator<Item = &'a MemberId>) -> BTreeMap<String, String> {
    let located = members.filter(|member| !member.vm.ends_with('?'));
    located
        .map(|member| (member.vm.clone(), member.vm[1..].to_owned()))
        .collect()
}

/// Returns the next step of a group led by the first voter.
fn step(voter_count: usize, voters: &[&str], unresponsive: &[&str], ready: &[&str]) -> VoterStep {
    let leader = member(voters[0]);
    let (voters, unresponsive, ready) = (members(voters), members(unresponsive), members(ready));
    let placement = VoterPlacement {
        voter_count,
        leader: &leader,
        voters: &voters,
        unresponsive: unresponsive.iter().collect(),
        ready: ready.iter().collect(),
        zones: &zones_of(voters.iter().chain(&ready)),
    };
    placement.next_step()
}

fn promote(name: &str) -> VoterStep {
    VoterStep::Promote(member(name))
}

fn remove(name: &str) -> VoterStep {
    VoterStep::Remove(member(name))
}

#[gtest]
fn group_grows_by_learners_in_zones_without_a_voter() {
    let voters = ["a1", "b2", "c3"];
    expect_that!(step(5, &voters, &[], &["d1", "e4"]), eq(&promote("e4")));
    let voters = ["a1", "b2", "c3", "e4"];
    expect_that!(step(5, &voters, &[], &["d1", "f5"]), eq(&promote("f5")));
    expect_that!(step(5, &voters, &[], &["d1"]), eq(&promote("d1")));
}

#[gtest]
fn learner_of_an_unknown_zone_votes_only_if_no_other_one_can() {
    let voters = ["a1", "b2"];
    expect_that!(step(3, &voters, &[], &["c?", "d1"]), eq(&promote("d1")));
    expect_that!(step(3, &voters, &[], &["c?"]), eq(&promote("c?")));
}

#[gtest]
fn odd_group_does_not_become_even_for_want_of_learners() {
    let voters = ["a1", "b2", "c3"];
    expect_that!(step(5, &voters, &[], &["d4"]), eq(&VoterStep::Keep));
}

#[gtest]
fn unresponsive_voter_is_removed_only_if_a_learner_can_replace_it() {
    let voters = ["a1", "b2", "c3"];
    expect_that!(step(3, &voters, &["c3"], &["d1"]), eq(&remove("c3")));
    expect_that!(step(3, &voters, &["c3"], &[]), eq(&VoterStep::Keep));
    expect_that!(step(5, &voters, &["c3"], &["d1"]), eq(&remove("c3")));
}

#[gtest]
fn crowded_zone_gives_a_vote_to_an_empty_one_without_a_smaller_group() {
    let voters = ["a1", "b1", "c2"];
    expect_that!(step(3, &voters, &[], &["d3"]), eq(&promote("d3")));
    let voters = ["a1", "b1", "c2", "d3"];
    expect_that!(step(3, &voters, &[], &[]), eq(&remove("b1")));
}

#[gtest]
fn evenly_spread_voters_stay() {
    for ready in [&["d1"][..], &["d4"], &["d?"], &["d1", "e4"]] {
        let voters = ["a1", "b2", "c3"];
        expect_that!(step(3, &voters, &[], ready), eq(&VoterStep::Keep));
    }
    let voters = ["a1", "b1", "c2", "d2", "e3"];
    expect_that!(step(5, &voters, &[], &["f3"]), eq(&VoterStep::Keep));
}

#[gtest]
fn surplus_voter_is_an_unresponsive_one_and_never_the_leader() {
    let voters = ["a1", "b1", "c2", "d3"];
    expect_that!(step(3, &voters, &["c2"], &[]), eq(&remove("c2")));
    let voters = ["a1", "b2", "c3", "d4", "e5"];
    let removed = step(3, &voters, &[], &[]);
    expect_that!(removed, not(eq(&remove("a1"))));
    expect_that!(removed, not(eq(&VoterStep::Keep)));
}

/// Follows the steps from random groups until nothing is to change.
#[gtest]
fn steps_end_with_voters_spread_as_evenly_as_members_allow() {
    let mut rng = StdRng::seed_from_u64(1);
    for _ in 0..2000 {
        let voter_count = [3, 5, 7][rng.random_range(0..3)];
        let zone_count = rng.random_range(1..6);
        let names: Vec<String> = (0..rng.random_range(1..14))
            .map(|index| {
                let letter = char::from(b'a' + index);
                format!("{letter}{}", rng.random_range(0..zone_count))
            })
            .collect();
        let all: BTreeSet<MemberId> = names.iter().map(|name| member(name)).collect();
        let leader = member(&names[0]);
        let first_count = rng.random_range(1..=names.len());
        let mut voters: BTreeSet<MemberId> = names[..first_count]
            .iter()
            .map(|name| member(name))
            .collect();
        let zones = zones_of(all.iter());
        let mut step_count = 0;
        loop {
            let placement = VoterPlacement {
                voter_count,
                leader: &leader,
                voters: &voters,
                unresponsive: BTreeSet::new(),
                ready: all.difference(&voters).collect(),
                zones: &zones,
            };
            match placement.next_step() {
                VoterStep::Keep => break,
                VoterStep::Promote(learner) => voters.insert(learner),
                VoterStep::Remove(voter) => voters.remove(&voter),
            };
            step_count += 1;
            assert!(step_count < 60, "the steps of {names:?} do not end");
        }
        expect_true!(voters.contains(&leader));
        expect_that!(voters.len(), ge(all.len().min(3)));
        expect_that!(voters.len(), le(voter_count));
        let count_in = |zone: &String| {
            let is_inside = |voter: &&MemberId| zones[&voter.vm] == *zone;
            voters.iter().filter(is_inside).count()
        };
        let most = zones.values().map(count_in).max().unwrap_or(0);
        let without_vote = all.difference(&voters);
        for learner in without_vote.filter(|_| voters.len() == voter_count) {
            expect_that!(count_in(&zones[&learner.vm]) + 1, ge(most), "{names:?}");
        }
    }
}
