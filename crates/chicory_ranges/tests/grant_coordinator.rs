//! Grants, releases and moves of keys under failures, in virtual time.

mod support;

use std::time::Duration;

use chicory_ranges::{
    CallOutcome, GrantCoordinator, GrantCoordinatorConfig, GrantEffect, GrantEvent, KeyLoad,
    KeyRange, RangeMove, RangeRegistry, ServerIncarnation, Transfer,
};
use googletest::prelude::*;
use rand::RngExt;
use support::{Cluster, FakeServer};

const ALL_KEYS: u32 = 65_536;

fn incarnation(index: u64) -> ServerIncarnation {
    ServerIncarnation::new(format!("server-{index}"), 1)
}

fn settled_cluster(seed: u64) -> Cluster {
    settled(Cluster::new(6, seed))
}

fn settled(mut cluster: Cluster) -> Cluster {
    cluster.run(Duration::from_secs(3));
    cluster
}

fn server(cluster: &mut Cluster, index: u64) -> &mut FakeServer {
    running(cluster, &incarnation(index))
}

fn running<'a>(cluster: &'a mut Cluster, incarnation: &ServerIncarnation) -> &'a mut FakeServer {
    let server = cluster.servers.get_mut(incarnation);
    server.expect("known server")
}

#[gtest]
fn all_keys_get_an_owner_and_keep_it() {
    let mut cluster = settled_cluster(1);
    expect_that!(cluster.held_key_count(), eq(ALL_KEYS));
    let move_count = cluster.move_count;
    cluster.run(Duration::from_secs(30));
    expect_that!(cluster.held_key_count(), eq(ALL_KEYS));
    expect_that!(cluster.move_count, eq(move_count));
}

#[gtest]
fn keys_of_a_leaving_server_move_at_once_with_their_state() {
    let mut cluster = settled_cluster(2);
    cluster.leaving.push(incarnation(0));
    cluster.run(Duration::from_millis(400));
    expect_that!(cluster.held_key_count(), eq(ALL_KEYS));
    expect_that!(
        cluster.servers[&incarnation(0)]
            .held_ranges(cluster.now)
            .count(),
        eq(0)
    );
    let handed_over = cluster
        .registry
        .ranges(support::SERVICE)
        .filter(|r| r.handover.is_some());
    expect_that!(handed_over.count(), gt(0));
}

#[gtest]
fn refused_connection_does_not_prove_that_a_partitioned_server_ended() {
    let mut cluster = settled_cluster(3);
    server(&mut cluster, 0).is_partitioned = true;
    server(&mut cluster, 0).refuses_connections = true;
    // Each step of the cluster asserts that no key has two owners.
    cluster.run(Duration::from_secs(20));
    expect_that!(cluster.held_key_count(), eq(ALL_KEYS));
}

#[gtest]
fn short_partition_causes_no_move() {
    let mut cluster = settled_cluster(4);
    let move_count = cluster.move_count;
    let owned = cluster.registry.ranges(support::SERVICE);
    let owned_count = owned.filter(|owned| owned.owner == incarnation(0)).count();
    server(&mut cluster, 0).is_partitioned = true;
    for _ in 0..100 {
        cluster.step();
        assert_that!(cluster.held_key_count(), eq(ALL_KEYS));
    }
    server(&mut cluster, 0).is_partitioned = false;
    for _ in 0..200 {
        cluster.step();
        assert_that!(cluster.held_key_count(), eq(ALL_KEYS));
        // Requests for the keys are not held back while their owner gets them under a new fence.
        assert_that!(cluster.coordinator.moving(cluster.now).count(), eq(0));
    }
    // The grants under way were lost with their connections, so they get new fences.
    let refence_count = usize::try_from(cluster.refence_count).unwrap_or(usize::MAX);
    expect_that!(refence_count, eq(owned_count));
    expect_that!(cluster.move_count - cluster.refence_count, eq(move_count));
}

/// Guards against requests that are held back because a server closed an idle connection.
#[gtest]
fn closed_connections_leave_keys_with_their_owners() {
    let mut cluster = settled_cluster(11);
    let move_count = cluster.move_count;
    for _ in 0..10 {
        cluster.links.clear();
        for _ in 0..60 {
            cluster.step();
            assert_that!(cluster.held_key_count(), eq(ALL_KEYS));
            assert_that!(cluster.coordinator.moving(cluster.now).count(), eq(0));
        }
    }
    expect_that!(cluster.move_count - cluster.refence_count, eq(move_count));
}

#[gtest]
fn keys_with_expired_grants_are_listed_as_moving() {
    let mut cluster = settled_cluster(4);
    expect_that!(cluster.coordinator.moving(cluster.now).count(), eq(0));
    server(&mut cluster, 0).is_partitioned = true;
    cluster.run(Duration::from_secs(5));
    expect_that!(cluster.coordinator.moving(cluster.now).count(), eq(0));
    while cluster.servers[&incarnation(0)]
        .held_ranges(cluster.now)
        .count()
        > 0
    {
        cluster.step();
    }
    let owners = cluster.registry.ranges(support::SERVICE);
    let has_moved = owners.filter(|owned| owned.owner == incarnation(0)).count() == 0;
    expect_that!(
        has_moved || cluster.coordinator.moving(cluster.now).count() > 0,
        eq(true)
    );
}

#[gtest]
fn later_incarnation_of_a_server_frees_its_keys_at_once() {
    let mut cluster = settled_cluster(5);
    server(&mut cluster, 0).is_up = false;
    let next = ServerIncarnation::new("server-0", 2);
    let started = FakeServer {
        is_up: true,
        ..FakeServer::default()
    };
    cluster.servers.insert(next.clone(), started);
    cluster.handle_event(GrantEvent::Ended {
        incarnation: incarnation(0),
        successor: Some(next.clone()),
    });
    cluster.handle_event(GrantEvent::Announced(next));
    cluster.servers.remove(&incarnation(0));
    cluster.run(Duration::from_millis(600));
    expect_that!(cluster.held_key_count(), eq(ALL_KEYS));
}

#[gtest]
fn server_replaced_by_another_one_frees_its_keys_at_once() {
    let mut cluster = settled_cluster(5);
    server(&mut cluster, 0).is_up = false;
    cluster.handle_event(GrantEvent::Ended {
        incarnation: incarnation(0),
        successor: None,
    });
    cluster.servers.remove(&incarnation(0));
    cluster.run(Duration::from_millis(600));
    expect_that!(cluster.held_key_count(), eq(ALL_KEYS));
}

#[gtest]
fn grant_without_an_answer_is_fenced_before_keys_move() {
    let mut cluster = settled_cluster(6);
    server(&mut cluster, 0).late_percent = 100;
    cluster.run(Duration::from_millis(2600));
    server(&mut cluster, 0).late_percent = 0;
    cluster.leaving.push(incarnation(0));
    cluster.run(Duration::from_secs(30));
    expect_that!(cluster.held_key_count(), eq(ALL_KEYS));
}

#[gtest]
fn new_leader_keeps_all_keys_owned() {
    let mut cluster = settled(Cluster::with_start_times(0, 6, 7));
    let move_count = cluster.move_count;
    for _ in 0..3 {
        cluster.change_leader();
        cluster.run(Duration::from_secs(4));
        expect_that!(cluster.held_key_count(), eq(ALL_KEYS));
    }
    expect_that!(cluster.move_count, eq(move_count));
}

#[gtest]
fn new_leader_fences_each_range_once_where_processes_may_share_ids() {
    let mut cluster = settled_cluster(7);
    let owners = |cluster: &Cluster| -> Vec<_> {
        let ranges = cluster.registry.ranges(support::SERVICE);
        ranges
            .map(|owned| (owned.range, owned.owner.clone()))
            .collect()
    };
    let before = owners(&cluster);
    for _ in 0..3 {
        let (move_count, refence_count) = (cluster.move_count, cluster.refence_count);
        cluster.change_leader();
        cluster.run(Duration::from_secs(4));
        expect_that!(cluster.held_key_count(), eq(ALL_KEYS));
        let new_fence_count = cluster.refence_count - refence_count;
        expect_that!(new_fence_count as usize, eq(before.len()));
        expect_that!(cluster.move_count - move_count, eq(new_fence_count));
    }
    expect_that!(owners(&cluster), eq(&before));
}

#[gtest]
fn hot_keys_are_spread_over_several_servers() {
    let mut cluster = settled_cluster(8);
    let mut load = KeyLoad::new(cluster.now);
    for key in 30_000..30_200 {
        load.add(key, 10);
    }
    cluster.weights = load.weights();
    cluster.run(Duration::from_secs(20));
    let hot = KeyRange::new(30_000, 30_199);
    let ranges = cluster.registry.ranges(support::SERVICE);
    let owners: std::collections::BTreeSet<_> = ranges
        .filter(|owned| owned.range.overlaps(hot))
        .map(|owned| &owned.owner)
        .collect();
    expect_that!(owners.len(), ge(4));
}

/// Guards against keys without an owner after an election.
///
/// The new leader does not know which grants of the former one may still take effect. Keys that it
/// had released could not be granted again until the last of those grants has expired.
#[gtest]
fn balance_under_a_new_leader_leaves_no_key_without_an_owner() {
    let mut cluster = settled_cluster(9);
    // The next plan is due before the next announcements.
    cluster.run(Duration::from_millis(250));
    let mut load = KeyLoad::new(cluster.now);
    for key in 30_000..30_200 {
        load.add(key, 10);
    }
    cluster.change_leader();
    cluster.weights = load.weights();
    let move_count = cluster.move_count;
    for _ in 0..400 {
        cluster.step();
        assert_that!(
            cluster.held_key_count(),
            eq(ALL_KEYS),
            "at {:?}",
            cluster.now
        );
    }
    expect_that!(cluster.move_count, gt(move_count));
}

/// Guards against two owners of a key after operators have allowed less: the grants of the former leader
/// hold as long as they were given for.
#[gtest]
fn leader_with_a_shorter_hold_waits_for_the_grants_of_the_former_one() {
    for max_hold in [2, 5, 9].map(Duration::from_secs) {
        let mut cluster = settled_cluster(9);
        server(&mut cluster, 0).is_partitioned = true;
        let config = GrantCoordinatorConfig::default().with_max_hold(max_hold);
        cluster.change_leader_with(config.clone());
        // Each step checks that no key has two owners.
        cluster.run(Duration::from_secs(9));
        // The server is lost for good, and the keys go to the others.
        cluster.run(Duration::from_secs(6));
        expect_that!(cluster.held_key_count(), eq(ALL_KEYS), "{max_hold:?}");
        // Under its own grants, the leader has to wait for its own hold only.
        server(&mut cluster, 1).is_partitioned = true;
        cluster.run(config.grant_expiry() + Duration::from_secs(3));
        expect_that!(cluster.held_key_count(), eq(ALL_KEYS), "{max_hold:?}");
    }
}

/// Guards against counting a late answer for the wrong owner: a server that has ended answers a
/// release after its keys were assigned to the next owner.
#[gtest]
fn late_answer_of_a_former_owner_does_not_count_for_the_next() {
    let now = Duration::from_secs(100);
    let mut registry = RangeRegistry::default();
    let mut coordinator = GrantCoordinator::new(GrantCoordinatorConfig::default(), now, &registry);
    let first_move = RangeMove {
        service: support::SERVICE.into(),
        range: KeyRange::ALL,
        from: None,
        to: incarnation(0),
        handover: None,
    };
    registry.apply(&first_move).expect("free keys");
    coordinator.reduce(now, GrantEvent::Announced(incarnation(1)), &registry);
    coordinator.reduce(now, GrantEvent::Announced(incarnation(0)), &registry);
    let granted = call_ids(coordinator.reduce(now, GrantEvent::RegistryChanged, &registry));
    let done = CallOutcome::Done {
        handover: None,
        link: Some(1),
    };
    let answered = GrantEvent::CallEnded {
        call: granted[0],
        outcome: done.clone(),
    };
    coordinator.reduce(now, answered, &registry);
    let transfer = Transfer {
        service: support::SERVICE.into(),
        range: KeyRange::ALL,
        from: Some(incarnation(0)),
        to: incarnation(1),
    };
    let release = call_ids(coordinator.reduce(now, GrantEvent::Transfer(transfer), &registry));
    let ended = GrantEvent::Ended {
        incarnation: incarnation(0),
        successor: None,
    };
    coordinator.reduce(now, ended, &registry);
    let second_move = RangeMove {
        from: Some(incarnation(0)),
        to: incarnation(1),
        ..first_move
    };
    registry
        .apply(&second_move)
        .expect("keys of the ended server");
    coordinator.reduce(now, GrantEvent::RegistryChanged, &registry);
    let late = GrantEvent::CallEnded {
        call: release[0],
        outcome: done,
    };
    coordinator.reduce(now, late, &registry);
    // The next owner has not answered its grant yet.
    expect_that!(coordinator.moving(now).count(), eq(1));
}

fn call_ids(effects: Vec<GrantEffect>) -> Vec<u64> {
    let call_ids = effects.into_iter().filter_map(|effect| match effect {
        GrantEffect::Call { call, .. } => Some(call),
        GrantEffect::Propose(_) => None,
    });
    call_ids.collect()
}

/// Applies partitions, late grants, leaving servers and changes of the leader in random order.
#[gtest]
fn no_key_has_two_owners_under_random_failures() {
    for seed in 0..60 {
        for started_at_ms in [0, 1] {
            play_random_failures(seed, started_at_ms);
        }
    }
}

fn play_random_failures(seed: u64, started_at_ms: u64) {
    let mut cluster = settled(Cluster::with_start_times(started_at_ms, 6, seed));
    for _ in 0..80 {
        inject_fault(&mut cluster, started_at_ms);
        let pause = cluster.rng.random_range(50..1500);
        cluster.run(Duration::from_millis(pause));
    }
    for server in cluster.servers.values_mut() {
        server.is_partitioned = false;
        server.late_percent = 0;
    }
    cluster.run(Duration::from_secs(40));
    assert_that!(
        cluster.held_key_count(),
        eq(ALL_KEYS),
        "seed {seed}, start {started_at_ms}"
    );
}

fn inject_fault(cluster: &mut Cluster, started_at_ms: u64) {
    let index: u64 = cluster.rng.random_range(0..6);
    let chosen = ServerIncarnation::new(format!("server-{index}"), started_at_ms);
    let fault = cluster.rng.random_range(0..10);
    let is_refusing = cluster.rng.random();
    match fault {
        0 | 1 => {
            let server = running(cluster, &chosen);
            server.is_partitioned = true;
            server.refuses_connections = is_refusing;
        }
        2 | 3 => running(cluster, &chosen).is_partitioned = false,
        4 => running(cluster, &chosen).late_percent = 50,
        5 => running(cluster, &chosen).late_percent = 0,
        6 => cluster.change_leader(),
        7 if cluster.leaving.len() < 2 => cluster.leaving.push(chosen),
        8 => cluster.leaving.clear(),
        _ => {}
    }
}
