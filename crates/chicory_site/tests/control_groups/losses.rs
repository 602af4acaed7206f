//! Any two control VMs, or all of one availability zone, are lost at once.

use std::time::Duration;

use chicory_directory::SiteCall;
use googletest::prelude::*;

use super::deployment::{Deployment, pairs};
use crate::support::{Simulation, table, vm_in_zone};

/// Time after its return during which a VM still counts as lost.
const CATCH_UP_TIME: Duration = Duration::from_secs(6);
/// Time for which a VM without power is down.
const DOWN_TIME: Duration = Duration::from_secs(1);

/// Plays a loss in a fresh deployment for each of `cases`, and returns those after which the newest
/// acknowledged table was not read back or no further table was acknowledged.
fn unserved(cases: &[Vec<String>], lose: impl Fn(&mut Deployment, &[String])) -> Vec<Vec<String>> {
    let is_served = |lost: &Vec<String>| {
        let mut deployment = Deployment::of_ten();
        lose(&mut deployment, lost);
        deployment.reads_back() && deployment.acknowledges_next_table()
    };
    cases
        .iter()
        .filter(|lost| !is_served(lost))
        .cloned()
        .collect()
}

fn all_pairs() -> Vec<Vec<String>> {
    let vms = Deployment::of_ten().vm_names();
    pairs(&vms).into_iter().map(Vec::from).collect()
}

fn all_zones() -> Vec<Vec<String>> {
    let zones = 0..5;
    let vms_of = |zone| vec![vm_in_zone(zone, 0), vm_in_zone(zone, 1)];
    zones.map(vms_of).collect()
}

#[gtest]
fn any_two_vms_lost_with_their_disks_cost_nothing_acknowledged() {
    let unserved = unserved(&all_pairs(), |deployment, lost| {
        deployment.kill(lost);
        deployment.simulation.run(DOWN_TIME);
        deployment.start_empty(lost);
    });
    expect_that!(unserved, is_empty());
}

#[gtest]
fn any_two_vms_lost_with_their_disks_right_after_an_acknowledgement_cost_nothing() {
    let unserved = unserved(&all_pairs(), |deployment, lost| {
        assert!(deployment.acknowledges_next_table());
        deployment.kill(lost);
        deployment.start_empty(lost);
    });
    expect_that!(unserved, is_empty());
}

#[gtest]
fn any_two_vms_lost_with_their_disks_in_the_middle_of_a_change_leave_the_former_table() {
    let unserved = unserved(&all_pairs(), |deployment, lost| {
        let leader = deployment.simulation.await_leader();
        let version = deployment.acknowledged_version + 1;
        let change = SiteCall::PutRoutes(table(version));
        let call = deployment.simulation.call(&leader, change);
        deployment.simulation.step();
        deployment.kill(lost);
        deployment.simulation.run(DOWN_TIME);
        deployment.start_empty(lost);
        // The change got no clear answer, so it may be in force.
        deployment.simulation.answers.remove(&call);
        assert!(deployment.reads_back_or(version));
    });
    expect_that!(unserved, is_empty());
}

#[gtest]
fn all_vms_without_power_and_two_disks_lost_cost_nothing_acknowledged() {
    let unserved = unserved(&all_pairs(), |deployment, lost| {
        let vms = deployment.vm_names();
        deployment.kill(&vms);
        deployment.simulation.run(DOWN_TIME);
        for vm in vms.iter().filter(|vm| !lost.contains(vm)) {
            deployment.simulation.start(vm);
        }
        deployment.start_empty(lost);
    });
    expect_that!(unserved, is_empty());
}

#[gtest]
fn any_lost_availability_zone_costs_nothing_acknowledged() {
    let unserved = unserved(&all_zones(), Deployment::kill);
    expect_that!(unserved, is_empty());
}

#[gtest]
fn lost_availability_zone_is_borne_wherever_the_seeds_are() {
    let seeds = [vm_in_zone(0, 0), vm_in_zone(0, 1), vm_in_zone(1, 0)];
    let is_served = |lost: &Vec<String>| {
        let mut deployment = Deployment::new(&[2; 5], 5, &seeds);
        deployment.kill(lost);
        deployment.reads_back() && deployment.acknowledges_next_table()
    };
    let zones = all_zones();
    let unserved: Vec<_> = zones.iter().filter(|lost| !is_served(lost)).collect();
    expect_that!(unserved, is_empty());
}

#[gtest]
fn two_losses_after_two_others_have_been_made_good_are_borne() {
    let mut deployment = Deployment::of_ten();
    let vms = deployment.vm_names();
    for lost in vms.chunks(2) {
        deployment.kill(lost);
        deployment.simulation.run(DOWN_TIME);
        deployment.start_empty(lost);
        expect_true!(deployment.reads_back());
        expect_true!(deployment.acknowledges_next_table());
        deployment.simulation.run(CATCH_UP_TIME);
    }
}

#[gtest]
fn vms_replaced_one_after_the_other_at_new_addresses_keep_what_was_acknowledged() {
    let mut deployment = Deployment::of_ten();
    for (index, old) in deployment.vm_names().into_iter().enumerate() {
        let (zone, new) = (index / 2, vm_in_zone(index / 2, 10 + index));
        deployment.kill(&[old]);
        let seeds = [1, 2, 3].map(|step| deployment.running_vm_in_zone((zone + step) % 5));
        deployment.simulation.set_seeds(&seeds);
        deployment.add(zone, &new);
        deployment.simulation.run(CATCH_UP_TIME);
        expect_true!(deployment.reads_back());
        expect_true!(deployment.acknowledges_next_table());
    }
}

#[gtest]
fn new_vm_whose_seeds_have_no_vote_finds_the_group() {
    let mut deployment = Deployment::of_ten();
    let without_vote = deployment.vms_without_vote();
    deployment.simulation.set_seeds(&without_vote[..3]);
    let new = vm_in_zone(0, 10);
    deployment.add(0, &new);
    deployment.simulation.run(CATCH_UP_TIME);
    expect_true!(deployment.reads_back_at(&new));
}

#[gtest]
fn vm_that_was_removed_while_it_was_cut_off_joins_again() {
    let mut deployment = Deployment::of_ten();
    let leader = deployment.simulation.await_leader();
    deployment.simulation.set_isolated(&leader, true);
    deployment.simulation.run(Duration::from_secs(12));
    deployment.simulation.set_isolated(&leader, false);
    deployment.simulation.run(CATCH_UP_TIME);
    expect_true!(deployment.reads_back_at(&leader));
}

#[gtest]
fn vms_that_left_for_good_keep_no_new_one_out() {
    let mut deployment = Deployment::of_ten();
    let seeds = [0, 1, 2].map(|zone| vm_in_zone(zone, 0));
    deployment.simulation.set_seeds(&seeds);
    for round in 0..40 {
        let temporary = vm_in_zone(4, 20 + round);
        deployment.add(4, &temporary);
        deployment.simulation.run(Duration::from_secs(1));
        deployment.kill(&[temporary]);
    }
    deployment.simulation.run(CATCH_UP_TIME);
    let new = vm_in_zone(0, 10);
    deployment.add(0, &new);
    deployment.simulation.run(CATCH_UP_TIME);
    expect_true!(deployment.reads_back_at(&new));
}

#[gtest]
fn small_groups_bear_one_loss_in_three_and_four_zones() {
    for zones in [&[1, 1, 1][..], &[1, 1, 1, 1], &[2, 2, 2]] {
        let seeds = [0, 1, 2].map(|zone| vm_in_zone(zone, 0));
        let vms = Simulation::deployment(zones, 3, &seeds).vm_names();
        for lost in vms {
            let mut deployment = Deployment::new(zones, 3, &seeds);
            deployment.kill(std::slice::from_ref(&lost));
            deployment.simulation.run(DOWN_TIME);
            deployment.start_empty(&[lost]);
            expect_true!(deployment.reads_back());
            expect_true!(deployment.acknowledges_next_table());
        }
    }
}
