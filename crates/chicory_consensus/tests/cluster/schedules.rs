//! Random schedules of faults; the harness checks the invariants after each step.

use std::time::Duration;

use proptest::prelude::*;
use proptest::test_runner::RngSeed;

use crate::harness::Cluster;

/// One step of a schedule. VMs are given as indices.
#[derive(Clone, Debug)]
enum Operation {
    /// Proposes a command on every VM.
    Propose(u8),
    /// Runs the group for a number of milliseconds.
    Run(u64),
    Crash(usize),
    Start(usize),
    Restart(usize),
    Pause(usize),
    Resume(usize),
    Isolate(usize),
    Cut(usize, usize),
    /// Cuts the link from the first VM to the second.
    CutOneWay(usize, usize),
    ReconnectAll,
    /// Sets the percentages of lost and of duplicated messages, and the longest delay in
    /// milliseconds.
    Network(u32, u32, u64),
    Transfer(usize),
}

fn operation(size: usize) -> impl Strategy<Value = Operation> {
    let vm = 0..size;
    prop_oneof![
        6 => any::<u8>().prop_map(Operation::Propose),
        8 => (1_u64..900).prop_map(Operation::Run),
        1 => vm.clone().prop_map(Operation::Crash),
        2 => vm.clone().prop_map(Operation::Start),
        2 => vm.clone().prop_map(Operation::Restart),
        2 => vm.clone().prop_map(Operation::Pause),
        2 => vm.clone().prop_map(Operation::Resume),
        1 => vm.clone().prop_map(Operation::Isolate),
        1 => (vm.clone(), vm.clone()).prop_map(|(a, b)| Operation::Cut(a, b)),
        1 => (vm.clone(), vm.clone()).prop_map(|(a, b)| Operation::CutOneWay(a, b)),
        2 => Just(Operation::ReconnectAll),
        2 => (0..30_u32, 0..30_u32, 1..80_u64).prop_map(|(lost, duplicated, delay_cap_ms)| {
            Operation::Network(lost, duplicated, delay_cap_ms)
        }),
        1 => vm.prop_map(Operation::Transfer),
    ]
}

fn run_operation(cluster: &mut Cluster, operation: &Operation) {
    let vms = cluster.vms();
    match operation {
        Operation::Propose(value) => {
            for vm in &vms {
                cluster.propose(vm, &[*value]);
            }
        }
        Operation::Run(ms) => cluster.run_for(Duration::from_millis(*ms)),
        Operation::Crash(i) => cluster.crash(&vms[*i]),
        Operation::Start(i) if cluster.nodes[&vms[*i]].replica.is_none() => cluster.start(&vms[*i]),
        Operation::Start(_) => {}
        Operation::Restart(i) => cluster.restart(&vms[*i]),
        Operation::Pause(i) => cluster.pause(&vms[*i]),
        Operation::Resume(i) => cluster.resume(&vms[*i]),
        Operation::Isolate(i) => cluster.isolate(&vms[*i]),
        Operation::Cut(a, b) => cluster.cut(&vms[*a], &vms[*b]),
        Operation::CutOneWay(a, b) => {
            cluster.cut_links.insert((vms[*a].clone(), vms[*b].clone()));
        }
        Operation::ReconnectAll => cluster.reconnect_all(),
        Operation::Network(loss, duplicate, delay_ms) => {
            cluster.network.loss_percent = *loss;
            cluster.network.duplicate_percent = *duplicate;
            cluster.network.max_delay = Duration::from_millis(*delay_ms);
        }
        Operation::Transfer(i) => {
            cluster.feed(
                &vms[*i],
                chicory_consensus::ReplicaEvent::TransferLeadership,
            );
        }
    }
}

fn run_schedule(size: usize, disk_count: usize, seed: u64, operations: &[Operation]) -> Cluster {
    let mut cluster = Cluster::new(size, disk_count, seed);
    cluster.snapshot_after_entries = 8;
    cluster.run_for(Duration::from_millis(1_500));
    for operation in operations {
        run_operation(&mut cluster, operation);
    }
    cluster.reconnect_all();
    cluster.network = crate::harness::Network {
        max_delay: Duration::from_millis(2),
        ..crate::harness::Network::default()
    };
    for vm in cluster.vms() {
        cluster.resume(&vm);
        if cluster.nodes[&vm].replica.is_none() {
            cluster.start(&vm);
        }
    }
    cluster.run_for(Duration::from_secs(5));
    cluster.check_logs();
    cluster
}

fn settings(seed: u64) -> ProptestConfig {
    ProptestConfig {
        cases: 150,
        rng_seed: RngSeed::Fixed(seed),
        failure_persistence: None,
        max_shrink_iters: 2_000,
        ..ProptestConfig::default()
    }
}

proptest! {
    #![proptest_config(settings(41))]

    #[test]
    fn groups_with_disks_lose_nothing_and_recover(
        seed: u64,
        operations in proptest::collection::vec(operation(3), 1..60),
    ) {
        let cluster = run_schedule(3, 3, seed, &operations);
        prop_assert!(cluster.leader().is_some());
    }

    #[test]
    fn diskless_groups_stay_safe(
        seed: u64,
        operations in proptest::collection::vec(operation(5), 1..60),
    ) {
        run_schedule(5, 0, seed, &operations);
    }

    #[test]
    fn mixed_groups_stay_safe(
        seed: u64,
        operations in proptest::collection::vec(operation(3), 1..60),
    ) {
        run_schedule(3, 1, seed, &operations);
    }
}
