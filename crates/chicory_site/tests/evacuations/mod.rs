//! Evacuations of availability zones, in virtual time.

mod keys;
mod orders;

use std::time::Duration;

use chicory_directory::{ServerState, SiteAnswer, SiteCall};
use googletest::prelude::*;

use crate::support::{Simulation, server, table};

const ZONES: [&str; 3] = ["north", "south", "west"];

/// Returns the announcement of a server in one of the zones.
fn announcement(index: u16, zone: &str) -> SiteCall {
    let name = format!("server-{index:03}");
    let mut record = server(&name, 1, 8000 + index, ServerState::Ready);
    record.zone = zone.into();
    SiteCall::Announce(record)
}

fn announce_all(simulation: &mut Simulation, servers_by_zone: [u16; 3]) {
    let leader = simulation.await_leader();
    let zones = ZONES.into_iter().zip(servers_by_zone);
    let zones = zones.flat_map(|(zone, count)| std::iter::repeat_n(zone, count.into()));
    for (zone, index) in zones.zip(1..) {
        simulation.call(&leader, announcement(index, zone));
    }
}

/// Starts a site whose keys are all owned.
fn site_with_servers(servers_by_zone: [u16; 3]) -> Simulation {
    let mut simulation = Simulation::with_leader(3);
    let leader = simulation.await_leader();
    simulation.call_and_wait(&leader, SiteCall::PutRoutes(table(1)));
    announce_all(&mut simulation, servers_by_zone);
    simulation.run(Duration::from_secs(4));
    announce_all(&mut simulation, servers_by_zone);
    simulation.run(Duration::from_secs(1));
    simulation
}

fn begin(zone: &str) -> SiteCall {
    SiteCall::BeginEvacuation(zone.into())
}

fn finish(zone: &str) -> SiteCall {
    SiteCall::FinishEvacuation(zone.into())
}

/// Gives an order and checks that it is acknowledged.
fn order(simulation: &mut Simulation, vm: &str, call: SiteCall) {
    let answer = simulation.call_and_wait(vm, call);
    expect_that!(answer, some(eq(&SiteAnswer::Done)));
}

/// Returns the number of keys that servers of a zone own.
fn keys_in(simulation: &Simulation, zone: &str) -> u32 {
    let leader = simulation.leader().expect("a leader");
    let state = simulation.core(&leader).state();
    let owned = state.registry().all_ranges().filter(|(_, owned)| {
        let record = state.server(&owned.owner.server);
        record.is_some_and(|record| record.zone == zone)
    });
    owned.map(|(_, owned)| owned.range.key_count()).sum()
}

fn evacuated(simulation: &Simulation, vm: &str) -> Vec<String> {
    let zones = simulation.core(vm).state().evacuated_zones();
    zones.iter().cloned().collect()
}
