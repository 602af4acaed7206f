//! Tests of scripted failures in zone groups and the global group, with invariants checked after
//! each step.

mod common;

use std::time::Duration;

use common::fixtures::*;
use common::world::*;
use googletest::prelude::*;

const SAMPLED_SLOTS: [u16; 4] = [0, 5_461, 10_923, 16_383];

fn settled_world(seed: u64) -> World {
    let mut world = World::new(seed);
    world.run_for(Duration::from_secs(8));
    world
}

#[gtest]
fn every_slot_gets_an_owner() {
    let world = settled_world(1);
    for service in [BOARD, ARCHIVE] {
        for slot in SAMPLED_SLOTS {
            expect_that!(world.owners(service, slot).len(), eq(1), "{service} {slot}");
        }
    }
}

/// Maximum time until a slot that lost its server or dispatcher is served again.
const RECOVERY_LIMIT: Duration = Duration::from_secs(4);

/// Runs steps until the slot is served or `limit` has passed, and returns the elapsed time.
fn until_served(world: &mut World, service: &str, slot: u16, limit: Duration) -> Duration {
    let start = world.now;
    while world.serving(service, slot).is_none() && world.now < start + limit {
        world.step();
    }
    world.now.saturating_sub(start)
}

fn dispatcher_of(world: &World, server: &str) -> usize {
    let dispatches = |e: &common::entry_model::EntryModel| e.dispatches_to(world.now, server);
    world.entries.iter().position(dispatches).unwrap()
}

fn server_index(world: &World, server: &str) -> usize {
    let mut servers = world.servers.iter();
    servers.position(|s| s.record.server == server).unwrap()
}

#[gtest]
fn a_lost_dispatcher_is_replaced_within_the_limit() {
    let mut longest = Duration::ZERO;
    for seed in 0..5 {
        let mut world = settled_world(seed);
        let server = world.serving(BOARD, 0).unwrap();
        let entry = dispatcher_of(&world, &server);
        world.entries[entry].is_alive = false;
        let span = until_served(&mut world, BOARD, 0, Duration::from_secs(10));
        expect_that!(span, le(RECOVERY_LIMIT), "seed {seed}");
        longest = longest.max(span);
    }
    println!("lost dispatcher: served again within {longest:?}");
}

#[gtest]
fn a_lost_leader_and_dispatcher_are_replaced_within_the_limit() {
    let mut longest = Duration::ZERO;
    for seed in 0..5 {
        let mut world = settled_world(seed);
        let server = world.serving(BOARD, 0).unwrap();
        let entry = dispatcher_of(&world, &server);
        world.entries[entry].is_alive = false;
        let now = world.now;
        let group = world.zones.get_mut("a").unwrap();
        group.lose_leader(now, 0, Duration::from_millis(1_200));
        let span = until_served(&mut world, BOARD, 0, Duration::from_secs(10));
        expect_that!(span, le(RECOVERY_LIMIT), "seed {seed}");
        longest = longest.max(span);
    }
    println!("lost leader and dispatcher: served again within {longest:?}");
}

#[gtest]
fn a_paused_dispatcher_returns_without_its_roles() {
    for seed in 0..5 {
        let mut world = settled_world(seed);
        let server = world.serving(BOARD, 0).unwrap();
        let entry = dispatcher_of(&world, &server);
        world.entries[entry].paused_until = world.now + Duration::from_secs(5);
        world.run_for(Duration::from_secs(8));
        expect_that!(dispatcher_of(&world, &server), not(eq(entry)));
        expect_that!(world.serving(BOARD, 0), some(anything()));
    }
}

#[gtest]
fn a_frozen_server_returns_without_its_slots() {
    let mut longest = Duration::ZERO;
    for seed in 0..5 {
        let mut world = settled_world(seed);
        let server = world.serving(BOARD, 0).unwrap();
        let index = server_index(&world, &server);
        world.servers[index].frozen_until = world.now + Duration::from_secs(6);
        let span = until_served(&mut world, BOARD, 0, Duration::from_secs(10));
        expect_that!(span, le(RECOVERY_LIMIT), "seed {seed}");
        longest = longest.max(span);
        expect_that!(world.serving(BOARD, 0), some(not(eq(&server))));
        world.run_for(Duration::from_secs(6));
        expect_that!(world.owners(BOARD, 0).len(), eq(1));
    }
    println!("lost server: served again within {longest:?}");
}

#[gtest]
fn an_entry_process_that_restarts_waits_for_its_former_lease() {
    for seed in 0..5 {
        let mut world = settled_world(seed);
        let server = world.serving(BOARD, 0).unwrap();
        let entry = dispatcher_of(&world, &server);
        let mut former = common::entry_model::EntryModel::new(
            "a",
            world.entries[entry].record.clone(),
            world.entries[entry].clock,
        );
        std::mem::swap(&mut former, &mut world.entries[entry]);
        // The former incarnation is only paused and may send requests until its lease ends.
        former.paused_until = world.now + Duration::from_mins(1);
        world.entries[entry].restart(world.now);
        world.entries.push(former);
        world.run_for(Duration::from_secs(6));
        expect_that!(world.serving(BOARD, 0), some(anything()), "seed {seed}");
    }
}

#[gtest]
fn a_reformed_group_serves_after_leases_of_its_predecessor_expire() {
    for seed in 0..5 {
        let mut world = settled_world(seed);
        let clock = world.any_clock();
        let now = world.now;
        let group = world.zones.get_mut("a").unwrap();
        let term = group.term;
        *group = common::world_groups::ZoneGroup::new("a", 2);
        group.term = term;
        group.elect(now, clock);
        world.run_for(Duration::from_secs(6));
        expect_that!(world.serving(BOARD, 0), some(anything()), "seed {seed}");
        let custody = world.zones["a"].state.own_custody(&BOARD.to_owned(), 0);
        expect_that!(custody.unwrap().generation, gt(3));
    }
}

#[gtest]
fn a_zone_cut_off_keeps_unlimited_custody_and_loses_limited_custody() {
    for seed in 0..5 {
        let mut world = settled_world(seed);
        world.zones.get_mut("a").unwrap().is_cut_off = true;
        for _ in 0..1_000 {
            world.step();
            expect_that!(world.serving(BOARD, 0), some(anything()));
        }
        let archive = world.serving(ARCHIVE, 0).unwrap();
        expect_that!(archive, not(starts_with("archive-a")));
        // The zone that is cut off replaces a failed server of its own slots.
        let server = world.serving(BOARD, 0).unwrap();
        let index = server_index(&world, &server);
        world.servers[index].is_alive = false;
        let span = until_served(&mut world, BOARD, 0, Duration::from_secs(10));
        expect_that!(span, le(RECOVERY_LIMIT), "seed {seed}");
        world.zones.get_mut("a").unwrap().is_cut_off = false;
        world.run_for(Duration::from_secs(10));
        expect_that!(world.serving(ARCHIVE, 0), some(anything()));
        let kept = world.zones["a"].state.own_custody(&BOARD.to_owned(), 0);
        expect_that!(kept, some(anything()));
    }
}

#[gtest]
fn zones_cut_off_from_each_other_keep_only_unlimited_custody() {
    let mut world = settled_world(4);
    for group in world.zones.values_mut() {
        group.is_cut_off = true;
    }
    world.run_for(Duration::from_secs(10));
    for slot in SAMPLED_SLOTS {
        expect_that!(world.serving(BOARD, slot), some(anything()));
        expect_that!(world.serving(ARCHIVE, slot), none());
    }
}

fn move_custody(world: &mut World, service: &str, to: &str) {
    let now = world.now;
    let command = chicory_ownership::GlobalCommand::RequestCustodyMove {
        service: service.to_owned(),
        runs: vec![chicory_types::SlotRun::new(0, 2_000)],
        from_zone: "a".to_owned(),
        to_zone: to.to_owned(),
    };
    world.global.propose(now, vec![command]);
}

#[gtest]
fn custody_moves_while_slots_move() {
    for seed in 0..5 {
        let mut world = settled_world(seed);
        let server = world.serving(BOARD, 0).unwrap();
        let index = server_index(&world, &server);
        world.servers[index].frozen_until = world.now + Duration::from_secs(5);
        world.run_for(Duration::from_secs(1));
        move_custody(&mut world, BOARD, "b");
        world.run_for(Duration::from_secs(8));
        let owner = world.serving(BOARD, 0);
        expect_that!(owner, some(starts_with("board-b")), "seed {seed}");
    }
}

#[gtest]
fn custody_moves_once_a_zone_that_was_cut_off_reconnects() {
    for seed in 0..5 {
        let mut world = settled_world(seed);
        move_custody(&mut world, BOARD, "b");
        world.run_for(Duration::from_millis(100 * seed));
        world.zones.get_mut("a").unwrap().is_cut_off = true;
        world.run_for(Duration::from_secs(10));
        world.zones.get_mut("a").unwrap().is_cut_off = false;
        world.run_for(Duration::from_secs(6));
        let owner = world.serving(BOARD, 0);
        expect_that!(owner, some(starts_with("board-b")), "seed {seed}");
    }
}

#[gtest]
fn a_lost_zone_is_taken_over_after_its_eviction() {
    let mut world = settled_world(5);
    for entry in world.entries.iter_mut().filter(|e| e.zone == "a") {
        entry.is_alive = false;
    }
    for server in world.servers.iter_mut().filter(|s| s.record.zone == "a") {
        server.is_alive = false;
    }
    world.zones.get_mut("a").unwrap().is_cut_off = true;
    world.run_for(Duration::from_secs(10));
    expect_that!(world.serving(BOARD, 0), none());
    expect_that!(world.serving(ARCHIVE, 0), some(anything()));
    let evict = chicory_ownership::GlobalCommand::EvictZone {
        zone: "a".to_owned(),
        operator: "ana".to_owned(),
        edit_id: "evict-1".to_owned(),
        at_ms: 0,
    };
    let now = world.now;
    world.global.propose(now, vec![evict.clone()]);
    world.run_for(Duration::from_secs(3));
    expect_that!(world.serving(BOARD, 0), some(anything()));
    // The zone reconnects without servers. It is readmitted, but gets no slots of the board.
    world.zones.get_mut("a").unwrap().is_cut_off = false;
    world.run_for(Duration::from_secs(3));
    let now = world.now;
    world.global.propose(now, vec![evict]);
    world.run_for(Duration::from_secs(1));
    expect_that!(world.global.state.zones()["a"].is_evicted, eq(false));
    expect_that!(world.serving(BOARD, 0), some(anything()));
    let audit = world.global.state.store().audit().records();
    let is_eviction = |record: &&chicory_table::AuditRecord| {
        matches!(
            record.action,
            chicory_table::AuditAction::ZoneEvicted { .. }
        )
    };
    expect_that!(audit.filter(is_eviction).count(), eq(1));
}
