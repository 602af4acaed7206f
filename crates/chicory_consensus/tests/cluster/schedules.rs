//! Random schedules of faults; the harness checks the invariants after each step.

use std::time::Duration;

use proptest::prelude::*;
use proptest::test_runner::RngSeed;

use crate::harness::Cluster;

#[derive(Clone, Debug)]
enum Op {
    Propose(u8),
    Run(u64),
    Crash(usize),
    Start(usize),
    Restart(usize),
    Pause(usize),
    Resume(usize),
    Isolate(usize),
    Cut(usize, usize),
    CutOneWay(usize, usize),
    Heal,
    Network(u32, u32, u64),
    Transfer(usize),
}

fn op(size: usize) -> impl Strategy<Value = Op> {
    let vm = 0..size;
    prop_oneof![
        6 => any::<u8>().prop_map(Op::Propose),
        8 => (1_u64..900).prop_map(Op::Run),
        1 => vm.clone().prop_map(Op::Crash),
        2 => vm.clone().prop_map(Op::Start),
        2 => vm.clone().prop_map(Op::Restart),
        2 => vm.clone().prop_map(Op::Pause),
        2 => vm.clone().prop_map(Op::Resume),
        1 => vm.clone().prop_map(Op::Isolate),
        1 => (vm.clone(), vm.clone()).prop_map(|(a, b)| Op::Cut(a, b)),
        1 => (vm.clone(), vm.clone()).prop_map(|(a, b)| Op::CutOneWay(a, b)),
        2 => Just(Op::Heal),
        2 => (0..30_u32, 0..30_u32, 1..80_u64).prop_map(|(l, d, t)| Op::Network(l, d, t)),
        1 => vm.prop_map(Op::Transfer),
    ]
}

fn run_op(cluster: &mut Cluster, op: &Op) {
    let vms = cluster.vms();
    match op {
        Op::Propose(value) => {
            for vm in &vms {
                cluster.propose(vm, &[*value]);
            }
        }
        Op::Run(ms) => cluster.run_for(Duration::from_millis(*ms)),
        Op::Crash(i) => cluster.crash(&vms[*i]),
        Op::Start(i) if cluster.nodes[&vms[*i]].replica.is_none() => cluster.start(&vms[*i]),
        Op::Start(_) => {}
        Op::Restart(i) => cluster.restart(&vms[*i]),
        Op::Pause(i) => cluster.pause(&vms[*i]),
        Op::Resume(i) => cluster.resume(&vms[*i]),
        Op::Isolate(i) => cluster.isolate(&vms[*i]),
        Op::Cut(a, b) => cluster.cut(&vms[*a], &vms[*b]),
        Op::CutOneWay(a, b) => {
            cluster.cuts.insert((vms[*a].clone(), vms[*b].clone()));
        }
        Op::Heal => cluster.heal(),
        Op::Network(loss, double, delay) => {
            cluster.network.loss_percent = *loss;
            cluster.network.double_percent = *double;
            cluster.network.max_delay = Duration::from_millis(*delay);
        }
        Op::Transfer(i) => {
            cluster.feed(
                &vms[*i],
                chicory_consensus::ReplicaEvent::TransferLeadership,
            );
        }
    }
}

fn run_schedule(size: usize, disks: usize, seed: u64, ops: &[Op]) -> Cluster {
    let mut cluster = Cluster::new(size, disks, seed);
    cluster.snapshot_after_entries = 8;
    cluster.run_for(Duration::from_millis(1_500));
    for op in ops {
        run_op(&mut cluster, op);
    }
    cluster.heal();
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
    fn disks_keep_everything_and_recover(
        seed: u64,
        ops in proptest::collection::vec(op(3), 1..60),
    ) {
        let cluster = run_schedule(3, 3, seed, &ops);
        prop_assert!(cluster.leader().is_some());
    }

    #[test]
    fn diskless_groups_stay_safe(
        seed: u64,
        ops in proptest::collection::vec(op(5), 1..60),
    ) {
        run_schedule(5, 0, seed, &ops);
    }

    #[test]
    fn mixed_groups_stay_safe(
        seed: u64,
        ops in proptest::collection::vec(op(3), 1..60),
    ) {
        run_schedule(3, 1, seed, &ops);
    }
}
