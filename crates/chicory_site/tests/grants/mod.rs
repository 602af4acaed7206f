//! Calls of a leader that grant keys to backend servers, in virtual time.

use std::time::Duration;

use crate::announce;
use crate::support::{Simulation, table, vm_name};
use chicory_consensus::LEADER_LEASE;
use chicory_directory::{ServerState, SiteCall};
use chicory_ranges::{GrantCall, RENEWAL_INTERVAL, ServerIncarnation};
use googletest::prelude::*;

#[gtest]
fn keys_are_granted_to_the_servers_of_a_keyed_service() {
    let mut simulation = Simulation::with_leader(3);
    let leader = simulation.await_leader();
    simulation.call_and_wait(&leader, SiteCall::PutRoutes(table(1)));
    for index in 1..=4 {
        let name = format!("server-{index}");
        simulation.call_and_wait(&leader, announce(&name, 8000 + index, ServerState::Ready));
    }
    simulation.run(Duration::from_secs(2));
    let granted: u32 = simulation
        .core(&leader)
        .state()
        .registry()
        .ranges("archive")
        .map(|owned| owned.range.key_count())
        .sum();
    expect_that!(granted, eq(65_536));
    let granted_servers: std::collections::BTreeSet<&ServerIncarnation> = simulation
        .grants
        .iter()
        .filter(|(_, call)| matches!(call, GrantCall::Grant { .. }))
        .map(|(incarnation, _)| incarnation)
        .collect();
    expect_that!(granted_servers.len(), eq(4));
}

/// Keys that a leader without a lease grants or has released may be the next leader's by then.
#[gtest]
fn leader_without_a_lease_makes_no_calls_to_servers() {
    let mut simulation = Simulation::with_leader(3);
    let leader = simulation.await_leader();
    simulation.call_and_wait(&leader, SiteCall::PutRoutes(table(1)));
    for index in 1..=4 {
        let name = format!("server-{index}");
        simulation.call_and_wait(&leader, announce(&name, 8000 + index, ServerState::Ready));
    }
    simulation.run(Duration::from_secs(2));
    simulation.set_isolated(&leader, true);
    simulation.run(LEADER_LEASE);
    expect_that!(simulation.grants.is_empty(), eq(false));
    simulation.grants.clear();
    // The others get no announcements, so that only the former leader could call servers.
    let end = simulation.now + RENEWAL_INTERVAL * 2;
    while simulation.now < end {
        for index in 1..=4 {
            let name = format!("server-{index}");
            simulation.call(&leader, announce(&name, 8000 + index, ServerState::Ready));
        }
        simulation.run(Duration::from_millis(100));
    }
    expect_that!(simulation.grants.len(), eq(0));
}

/// Guards against a restarted leader that takes servers in its log for servers that have announced
/// themselves: they may have ended while it was down.
#[gtest]
fn restarted_leader_makes_no_calls_to_servers_that_have_not_announced_themselves() {
    let mut simulation = Simulation::with_leader(3);
    let leader = simulation.await_leader();
    simulation.call_and_wait(&leader, SiteCall::PutRoutes(table(1)));
    for index in 1..=4 {
        let name = format!("server-{index}");
        simulation.call_and_wait(&leader, announce(&name, 8000 + index, ServerState::Ready));
    }
    simulation.run(Duration::from_secs(2));
    for index in 1..=3 {
        simulation.kill(&vm_name(index));
    }
    simulation.grants.clear();
    for index in 1..=3 {
        simulation.start(&vm_name(index));
    }
    let leader = simulation.await_leader();
    simulation.run(RENEWAL_INTERVAL * 2);
    expect_that!(simulation.grants.len(), eq(0));
    simulation.call_and_wait(&leader, announce("server-1", 8001, ServerState::Ready));
    simulation.run(Duration::from_millis(500));
    expect_that!(simulation.grants.is_empty(), eq(false));
}

#[gtest]
fn draining_server_releases_its_keys() {
    let mut simulation = Simulation::with_leader(3);
    let leader = simulation.await_leader();
    simulation.call_and_wait(&leader, SiteCall::PutRoutes(table(1)));
    for index in 1..=4 {
        let name = format!("server-{index}");
        simulation.call_and_wait(&leader, announce(&name, 8000 + index, ServerState::Ready));
    }
    simulation.run(Duration::from_secs(2));
    simulation.call_and_wait(&leader, announce("server-1", 8001, ServerState::Draining));
    simulation.run(Duration::from_secs(1));
    let state = simulation.core(&leader).state();
    let left = state.registry().ranges("archive");
    let left = left.filter(|owned| owned.owner.server == "server-1");
    expect_that!(left.count(), eq(0));
}
