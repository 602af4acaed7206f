//! Grants, releases and moves of keys under failures, in virtual time.

mod support;

use std::time::Duration;

use chicory_ranges::{
    CallOutcome, GrantCoordinator, GrantCoordinatorConfig, GrantEffect, GrantEvent, KeyLoad,
    KeyRange, RangeMove, RangeRegistry, ServerIncarnation, Transfer,
};
use googletest::prelude::*;
use rand::RngExt;
use support::{FakeServer, World};

const ALL_KEYS: u32 = 65_536;

fn incarnation(index: u64) -> ServerIncarnation {
    ServerIncarnation::new(format!("server-{index}"), 1)
}

fn settled(seed: u64) -> World {
    let mut world = World::new(6, seed);
    world.run(Duration::from_secs(3));
    world
}

fn server(world: &mut World, index: u64) -> &mut FakeServer {
    world
        .servers
        .get_mut(&incarnation(index))
        .expect("known server")
}

#[gtest]
fn all_keys_get_an_owner_and_keep_it() {
    let mut world = settled(1);
    expect_that!(world.held_keys(), eq(ALL_KEYS));
    let moves = world.moves;
    world.run(Duration::from_secs(30));
    expect_that!(world.held_keys(), eq(ALL_KEYS));
    expect_that!(world.moves, eq(moves));
}

#[gtest]
fn keys_of_a_leaving_server_move_at_once_with_its_state() {
    let mut world = settled(2);
    world.leaving.push(incarnation(0));
    world.run(Duration::from_millis(400));
    expect_that!(world.held_keys(), eq(ALL_KEYS));
    expect_that!(
        world.servers[&incarnation(0)].holding(world.now).count(),
        eq(0)
    );
    let handed_over = world
        .book
        .ranges(support::SERVICE)
        .filter(|r| r.handover.is_some());
    expect_that!(handed_over.count(), gt(0));
}

#[gtest]
fn refused_connection_of_a_cut_server_is_no_proof_of_its_end() {
    let mut world = settled(3);
    server(&mut world, 0).is_cut = true;
    server(&mut world, 0).cut_refuses = true;
    // The world checks in each step that no key has two owners.
    world.run(Duration::from_secs(20));
    expect_that!(world.held_keys(), eq(ALL_KEYS));
}

#[gtest]
fn short_cut_costs_no_move() {
    let mut world = settled(4);
    let moves = world.moves;
    server(&mut world, 0).is_cut = true;
    world.run(Duration::from_secs(5));
    expect_that!(world.held_keys(), eq(ALL_KEYS));
    server(&mut world, 0).is_cut = false;
    world.run(Duration::from_secs(10));
    expect_that!(world.moves, eq(moves));
}

/// Requests for keys whose grants have run out, but may still not move, need not be sent.
#[gtest]
fn keys_of_a_server_whose_grants_ran_out_are_told() {
    let mut world = settled(4);
    expect_that!(world.desk.moving(world.now).count(), eq(0));
    server(&mut world, 0).is_cut = true;
    world.run(Duration::from_secs(5));
    expect_that!(world.desk.moving(world.now).count(), eq(0));
    while world.servers[&incarnation(0)].holding(world.now).count() > 0 {
        world.step();
    }
    let owners = world.book.ranges(support::SERVICE);
    let has_moved = owners.filter(|owned| owned.owner == incarnation(0)).count() == 0;
    expect_that!(
        has_moved || world.desk.moving(world.now).count() > 0,
        eq(true)
    );
}

#[gtest]
fn later_start_of_a_server_frees_its_keys_at_once() {
    let mut world = settled(5);
    server(&mut world, 0).is_up = false;
    let next = ServerIncarnation::new("server-0", 2);
    let started = FakeServer {
        is_up: true,
        ..FakeServer::default()
    };
    world.servers.insert(next, started);
    world.feed(GrantEvent::Ended(incarnation(0)));
    world.servers.remove(&incarnation(0));
    world.run(Duration::from_millis(600));
    expect_that!(world.held_keys(), eq(ALL_KEYS));
}

#[gtest]
fn grant_without_an_answer_is_fenced_before_keys_move() {
    let mut world = settled(6);
    server(&mut world, 0).late_percent = 100;
    world.run(Duration::from_millis(2600));
    server(&mut world, 0).late_percent = 0;
    world.leaving.push(incarnation(0));
    world.run(Duration::from_secs(30));
    expect_that!(world.held_keys(), eq(ALL_KEYS));
}

#[gtest]
fn new_leader_goes_on_without_a_gap() {
    let mut world = settled(7);
    let moves = world.moves;
    for _ in 0..3 {
        world.change_leader();
        world.run(Duration::from_secs(4));
        expect_that!(world.held_keys(), eq(ALL_KEYS));
    }
    expect_that!(world.moves, eq(moves));
}

#[gtest]
fn hot_keys_are_spread_over_several_servers() {
    let mut world = settled(8);
    let mut load = KeyLoad::new(world.now);
    for key in 30_000..30_200 {
        load.add(key, 10);
    }
    world.weights = load.weights();
    world.run(Duration::from_secs(20));
    let hot = KeyRange::new(30_000, 30_199);
    let ranges = world.book.ranges(support::SERVICE);
    let owners: std::collections::BTreeSet<_> = ranges
        .filter(|owned| owned.range.overlaps(hot))
        .map(|owned| &owned.owner)
        .collect();
    expect_that!(owners.len(), ge(4));
}

/// A new leader does not know which grants of the former one may still take effect. To release keys
/// then would leave them without an owner until the last of these has run out.
#[gtest]
fn balance_under_a_new_leader_leaves_no_key_without_an_owner() {
    let mut world = settled(9);
    // The next plan is due before the next announcements.
    world.run(Duration::from_millis(250));
    let mut load = KeyLoad::new(world.now);
    for key in 30_000..30_200 {
        load.add(key, 10);
    }
    world.change_leader();
    world.weights = load.weights();
    let moves = world.moves;
    for _ in 0..400 {
        world.step();
        assert_that!(world.held_keys(), eq(ALL_KEYS), "at {:?}", world.now);
    }
    expect_that!(world.moves, gt(moves));
}

/// A release of a server that has ended is answered after its keys have gone to the next owner.
#[gtest]
fn late_answer_to_a_former_owner_says_nothing_about_the_next() {
    let now = Duration::from_secs(100);
    let mut book = RangeRegistry::default();
    let mut desk = GrantCoordinator::new(GrantCoordinatorConfig::default(), now, &book);
    let first_move = RangeMove {
        service: support::SERVICE.into(),
        range: KeyRange::ALL,
        from: None,
        to: incarnation(0),
        handover: None,
    };
    book.apply(&first_move).expect("free keys");
    desk.reduce(now, GrantEvent::Announced(incarnation(1)), &book);
    desk.reduce(now, GrantEvent::Announced(incarnation(0)), &book);
    let granted = calls(desk.reduce(now, GrantEvent::RegistryChanged, &book));
    let done = CallOutcome::Done { handover: None };
    let answered = GrantEvent::CallEnded {
        call: granted[0],
        outcome: done.clone(),
    };
    desk.reduce(now, answered, &book);
    let transfer = Transfer {
        service: support::SERVICE.into(),
        range: KeyRange::ALL,
        from: Some(incarnation(0)),
        to: incarnation(1),
    };
    let release = calls(desk.reduce(now, GrantEvent::Transfer(transfer), &book));
    desk.reduce(now, GrantEvent::Ended(incarnation(0)), &book);
    let second_move = RangeMove {
        from: Some(incarnation(0)),
        to: incarnation(1),
        ..first_move
    };
    book.apply(&second_move).expect("keys of the ended server");
    desk.reduce(now, GrantEvent::RegistryChanged, &book);
    let late = GrantEvent::CallEnded {
        call: release[0],
        outcome: done,
    };
    desk.reduce(now, late, &book);
    // The next owner has not answered its grant yet.
    expect_that!(desk.moving(now).count(), eq(1));
}

fn calls(effects: Vec<GrantEffect>) -> Vec<u64> {
    let calls = effects.into_iter().filter_map(|effect| match effect {
        GrantEffect::Call { call, .. } => Some(call),
        GrantEffect::Propose(_) => None,
    });
    calls.collect()
}

/// Cuts, crashes, late grants, leaving servers and leaders that change, in any order.
#[gtest]
fn no_key_has_two_owners_under_random_failures() {
    for seed in 0..60 {
        let mut world = settled(seed);
        for _ in 0..80 {
            disturb(&mut world);
            let pause = world.rng.random_range(50..1500);
            world.run(Duration::from_millis(pause));
        }
        for server in world.servers.values_mut() {
            server.is_cut = false;
            server.late_percent = 0;
        }
        world.run(Duration::from_secs(40));
        assert_that!(world.held_keys(), eq(ALL_KEYS), "seed {seed}");
    }
}

fn disturb(world: &mut World) {
    let index = world.rng.random_range(0..6);
    let chance = world.rng.random_range(0..10);
    let is_refusing = world.rng.random();
    match chance {
        0 | 1 => {
            let server = server(world, index);
            server.is_cut = true;
            server.cut_refuses = is_refusing;
        }
        2 | 3 => server(world, index).is_cut = false,
        4 => server(world, index).late_percent = 50,
        5 => server(world, index).late_percent = 0,
        6 => world.change_leader(),
        7 if world.leaving.len() < 2 => world.leaving.push(incarnation(index)),
        8 => world.leaving.clear(),
        _ => {}
    }
}
