//! Disks of control VMs that are full for a few seconds, one after another.

use std::time::Duration;

use chicory_directory::{SiteAnswer, SiteCall};
use chicory_routes::RouteTable;
use googletest::prelude::*;
use rand::rngs::StdRng;
use rand::seq::SliceRandom;
use rand::{RngExt, SeedableRng};

use crate::support::{Simulation, table};

/// Time after the last disk has room again within which every control VM takes changes.
const RECOVERY_TIME: Duration = Duration::from_secs(4);

/// The calls of an operator who changes the route table.
struct Operator {
    rng: StdRng,
    version: u64,
    acknowledged: u64,
}

impl Operator {
    /// Sends changes to control VMs drawn at random for some time.
    fn change_for(&mut self, simulation: &mut Simulation, time: Duration) {
        let ends_at = simulation.now + time;
        while simulation.now < ends_at {
            let vms = simulation.vm_names();
            let vm = &vms[self.rng.random_range(0..vms.len())];
            self.change(simulation, vm);
            let pause_ms = self.rng.random_range(10..400);
            simulation.run(Duration::from_millis(pause_ms));
        }
    }

    fn change(&mut self, simulation: &mut Simulation, vm: &str) -> bool {
        self.version += 1;
        let answer = simulation.call_and_wait(vm, SiteCall::PutRoutes(table(self.version)));
        let is_done = answer == Some(SiteAnswer::Done);
        if is_done {
            self.acknowledged = self.version;
        }
        is_done
    }
}

/// Returns the version that a control VM answers a read with.
fn read_version(simulation: &mut Simulation, vm: &str) -> Option<u64> {
    match simulation.call_and_wait(vm, SiteCall::ReadRoutes) {
        Some(SiteAnswer::Routes(RouteTable { version, .. })) => Some(version),
        _ => None,
    }
}

/// Guards against changes that are refused or stay unanswered after the disks of all voters were full,
/// one after another.
#[gtest]
fn changes_are_acknowledged_after_each_disk_was_full_in_turn() {
    for seed in 0..40 {
        let mut simulation = Simulation::with_leader(3);
        let mut operator = Operator {
            rng: StdRng::seed_from_u64(seed),
            version: 0,
            acknowledged: 0,
        };
        let mut order = simulation.vm_names();
        order.shuffle(&mut operator.rng);
        let fills_leader_last = seed % 2 == 0;
        for turn in 0..order.len() {
            let is_last = turn + 1 == order.len();
            let full = match simulation.leader() {
                Some(leader) if is_last && fills_leader_last => leader,
                _ => order[turn].clone(),
            };
            simulation.set_disk_full(&full, true);
            operator.change_for(&mut simulation, Duration::from_secs(3));
            let read = read_version(&mut simulation, &full);
            expect_that!(read, none(), "seed {seed}, {full} has no room");
            simulation.set_disk_full(&full, false);
            let pause_ms = operator.rng.random_range(0..1500);
            operator.change_for(&mut simulation, Duration::from_millis(pause_ms));
        }
        simulation.run(RECOVERY_TIME);
        for vm in simulation.vm_names() {
            let read = read_version(&mut simulation, &vm);
            let is_newest = read.is_some_and(|version| version >= operator.acknowledged);
            expect_that!(is_newest, eq(true), "seed {seed}, {vm} read {read:?}");
            let is_done = operator.change(&mut simulation, &vm);
            expect_that!(is_done, eq(true), "seed {seed}, change at {vm}");
        }
    }
}
