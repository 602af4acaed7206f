//! Random losses that never exceed what is to be borne, in virtual time.

use std::time::Duration;

use chicory_directory::SiteCall;
use googletest::prelude::*;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

use super::deployment::Deployment;
use crate::support::{table, vm_in_zone};

const SCHEDULE_COUNT: u64 = 12;
const ROUND_COUNT: usize = 12;
/// Time after its return, or after its successor's start, for which a VM counts as lost.
const CATCH_UP_TIME: Duration = Duration::from_secs(6);

/// What happens to a VM.
#[derive(Clone, Copy, Debug)]
enum Loss {
    Restart,
    WipedDisk,
    CutOff,
    Replaced,
}

fn random_loss(rng: &mut StdRng) -> Loss {
    let losses = [Loss::Restart, Loss::WipedDisk, Loss::CutOff, Loss::Replaced];
    losses[rng.random_range(0..losses.len())]
}

fn pause(deployment: &mut Deployment, rng: &mut StdRng, max_ms: u64) {
    let pause = Duration::from_millis(rng.random_range(0..max_ms));
    deployment.simulation.run(pause);
}

/// Loses a VM, and brings it or its successor back after a while.
fn lose(deployment: &mut Deployment, rng: &mut StdRng, vm: &str, next_index: usize) {
    let loss = random_loss(rng);
    match loss {
        Loss::CutOff => deployment.simulation.set_isolated(vm, true),
        _ => deployment.kill(&[vm.to_owned()]),
    }
    pause(deployment, rng, 8000);
    match loss {
        Loss::Restart => deployment.simulation.start(vm),
        Loss::WipedDisk => deployment.start_empty(&[vm.to_owned()]),
        Loss::CutOff => deployment.simulation.set_isolated(vm, false),
        Loss::Replaced => {
            let zone: usize = vm
                .split('.')
                .nth(1)
                .and_then(|zone| zone.parse().ok())
                .expect("a zone");
            let seeds = [1, 2, 3].map(|step| deployment.running_vm_in_zone((zone + step) % 5));
            deployment.simulation.set_seeds(&seeds);
            deployment.add(zone, &vm_in_zone(zone, next_index));
        }
    }
}

/// Plays losses of up to two VMs at once, some in the middle of a change. Once both count as
/// present again, the next two are lost.
fn play(seed: u64) {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut deployment = Deployment::of_ten();
    for round in 0..ROUND_COUNT {
        let running = deployment.running_vms();
        let first = running[rng.random_range(0..running.len())].clone();
        let second = running[rng.random_range(0..running.len())].clone();
        let version = deployment.acknowledged_version + 1;
        if rng.random() {
            let leader = deployment.simulation.await_leader();
            let change = SiteCall::PutRoutes(table(version));
            deployment.simulation.call(&leader, change);
            pause(&mut deployment, &mut rng, 30);
        }
        lose(&mut deployment, &mut rng, &first, 100 + 2 * round);
        if second != first {
            lose(&mut deployment, &mut rng, &second, 101 + 2 * round);
        }
        assert!(
            deployment.reads_back_or(version),
            "seed {seed}, round {round}: what was acknowledged is not read back"
        );
        assert!(
            deployment.acknowledges_next_table(),
            "seed {seed}, round {round}: no further change is acknowledged"
        );
        deployment.simulation.run(CATCH_UP_TIME);
    }
}

#[gtest]
fn losses_within_the_tolerance_cost_nothing_acknowledged() {
    for seed in 0..SCHEDULE_COUNT {
        play(seed);
    }
}
