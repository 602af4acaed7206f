//! Availability zones of the control VMs with a vote.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use googletest::prelude::*;

use super::deployment::Deployment;
use crate::support::vm_in_zone;

/// Returns the number of voters in each zone that has one.
fn voters_by_zone(deployment: &mut Deployment) -> Vec<usize> {
    let leader = deployment.simulation.await_leader();
    let voters = deployment.simulation.core(&leader).voters();
    let mut counts: BTreeMap<String, usize> = BTreeMap::new();
    for voter in voters {
        let zone = voter.split('.').nth(1).expect("a zone").to_owned();
        *counts.entry(zone).or_default() += 1;
    }
    counts.into_values().collect()
}

#[gtest]
fn five_voters_are_spread_over_five_zones_wherever_the_seeds_are() {
    let seeds = [vm_in_zone(0, 0), vm_in_zone(0, 1), vm_in_zone(1, 0)];
    for seeds in [seeds, [0, 1, 2].map(|zone| vm_in_zone(zone, 0))] {
        let mut deployment = Deployment::new(&[2; 5], 5, &seeds);
        expect_that!(voters_by_zone(&mut deployment), eq(&vec![1; 5]));
    }
}

#[gtest]
fn five_voters_in_three_zones_leave_a_majority_outside_of_each() {
    let seeds = [vm_in_zone(0, 0), vm_in_zone(0, 1), vm_in_zone(0, 2)];
    let mut deployment = Deployment::new(&[3; 3], 5, &seeds);
    let mut counts = voters_by_zone(&mut deployment);
    counts.sort_unstable();
    expect_that!(counts, eq(&vec![1, 2, 2]));
}

#[gtest]
fn voters_are_spread_again_after_a_lost_zone_is_back() {
    let mut deployment = Deployment::of_ten();
    for zone in 0..5 {
        let lost = [vm_in_zone(zone, 0), vm_in_zone(zone, 1)];
        deployment.kill(&lost);
        deployment.simulation.run(Duration::from_secs(10));
        expect_that!(voters_by_zone(&mut deployment).len(), eq(4));
        for vm in &lost {
            deployment.simulation.start(vm);
        }
        deployment.simulation.run(Duration::from_secs(6));
        expect_that!(voters_by_zone(&mut deployment), eq(&vec![1; 5]));
    }
}

#[gtest]
fn group_has_no_even_number_of_voters_for_want_of_a_fifth_vm() {
    let seeds = [0, 1, 2].map(|zone| vm_in_zone(zone, 0));
    let mut deployment = Deployment::new(&[1; 4], 5, &seeds);
    expect_that!(voters_by_zone(&mut deployment), eq(&vec![1; 3]));
    deployment.add(4, &vm_in_zone(4, 0));
    deployment.simulation.run(Duration::from_secs(2));
    expect_that!(voters_by_zone(&mut deployment), eq(&vec![1; 5]));
}

#[gtest]
fn voters_do_not_change_without_a_loss() {
    let mut deployment = Deployment::of_ten();
    let voters_of = |deployment: &mut Deployment| -> BTreeSet<String> {
        let leader = deployment.simulation.await_leader();
        deployment.simulation.core(&leader).voters()
    };
    let before = voters_of(&mut deployment);
    for _ in 0..5 {
        // A planned stop hands the leadership over.
        let leader = deployment.simulation.await_leader();
        let event = chicory_site::SiteEvent::Stopping;
        deployment.simulation.handle_event(&leader, event);
        deployment.simulation.run(Duration::from_secs(8));
    }
    expect_that!(voters_of(&mut deployment), eq(&before));
}
