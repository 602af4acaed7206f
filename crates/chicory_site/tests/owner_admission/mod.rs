//! What entry VMs are told about owners of keys that are asked for more than they can answer.

use std::time::Duration;

use chicory_directory::{
    AdmittedFraction, ControlMessage, DirectoryPosition, EntryMessage, EntryReport, KeyCount,
    ServerLoad, ServerState, SiteCall,
};
use chicory_ranges::ServerIncarnation;
use chicory_site::{SiteEvent, SiteNote};
use googletest::prelude::*;

use crate::announce;
use crate::support::{Simulation, table};

const REPORT_INTERVAL: Duration = Duration::from_millis(350);
const ENTRY_VMS: u64 = 10;
const SERVERS: u16 = 4;

/// Starts a site whose keyed service has a latency target, and connects entry VMs to the leader.
fn site(mut simulation: Simulation) -> Simulation {
    let leader = simulation.await_leader();
    let mut routes = table(1);
    routes.routes[0].latency_target = Some(Duration::from_millis(500));
    simulation.call_and_wait(&leader, SiteCall::PutRoutes(routes));
    announce_servers(&mut simulation, &leader);
    simulation.run(Duration::from_secs(2));
    announce_servers(&mut simulation, &leader);
    connect(&mut simulation, &leader);
    simulation
}

fn managed_site() -> Simulation {
    site(Simulation::with_managed_service(3, "archive"))
}

fn announce_servers(simulation: &mut Simulation, leader: &str) {
    for index in 1..=SERVERS {
        let name = format!("server-{index}");
        let call = announce(&name, 8000 + index, ServerState::Ready);
        simulation.call_and_wait(leader, call);
    }
}

fn connect(simulation: &mut Simulation, control_vm: &str) {
    for link in 1..=ENTRY_VMS {
        let connected = SiteEvent::EntryConnected {
            link,
            vm: format!("entry-{link}"),
            zone: "north".into(),
            known: DirectoryPosition::default(),
            relay_address: None,
            cpu_share: None,
        };
        simulation.handle_event(control_vm, connected);
    }
}

fn owner_of(simulation: &Simulation, vm: &str, key: u16) -> ServerIncarnation {
    let registry = simulation.core(vm).state().registry();
    let owned = registry.owner("archive", key).expect("an owner");
    owned.owner.clone()
}

/// Returns a report of a hot key, whose owner answers one request in an interval and takes long.
fn hot_report(owner: &ServerIncarnation, key: u16) -> EntryReport {
    EntryReport {
        keys: vec![KeyCount {
            service: "archive".into(),
            key,
            request_count: 4,
        }],
        servers: vec![ServerLoad {
            incarnation: owner.clone(),
            in_flight: 2,
            answered: 1,
            shed: 2,
            service_time: Duration::from_millis(800),
            stated: None,
        }],
        can_relay: true,
        accepts_owner_admission: true,
        ..EntryReport::default()
    }
}

fn calm_report() -> EntryReport {
    EntryReport {
        accepts_owner_admission: true,
        ..EntryReport::default()
    }
}

/// Has all entry VMs send a report in each of a number of intervals.
fn send_reports(simulation: &mut Simulation, control_vm: &str, report: &EntryReport, count: u32) {
    for _ in 0..count {
        announce_servers(simulation, control_vm);
        for link in 1..=ENTRY_VMS {
            let message = EntryMessage::Report(report.clone());
            simulation.handle_event(control_vm, SiteEvent::EntrySent { link, message });
        }
        simulation.run(REPORT_INTERVAL);
    }
}

/// Returns the messages about admission to owners, with their links.
fn admissions(simulation: &Simulation) -> Vec<(u64, Vec<AdmittedFraction>)> {
    let messages = simulation.entry_messages.iter();
    let admissions = messages.filter_map(|(_, link, message)| match message {
        ControlMessage::OwnerAdmission(owners) => Some((*link, owners.clone())),
        _ => None,
    });
    admissions.collect()
}

fn admission_notes(simulation: &Simulation) -> Vec<bool> {
    let notes = simulation.notes.iter();
    let changes = notes.filter_map(|(_, note)| match note {
        SiteNote::OwnerAdmissionChanged { overload, .. } => Some(overload.is_some()),
        _ => None,
    });
    changes.collect()
}

/// The whole course: begin, each message naming the hot owner only, one empty message at the end.
#[gtest]
fn entry_vms_are_told_of_an_overloaded_owner_until_it_is_no_longer() {
    let mut simulation = managed_site();
    let leader = simulation.await_leader();
    send_reports(&mut simulation, &leader, &calm_report(), 3);
    expect_that!(admissions(&simulation).is_empty(), eq(true));
    let owner = owner_of(&simulation, &leader, 7);
    send_reports(&mut simulation, &leader, &hot_report(&owner, 7), 4);
    let told = admissions(&simulation);
    expect_that!(told.len(), ge(10));
    for (_, owners) in &told {
        assert_that!(owners.len(), eq(1));
        expect_that!(owners[0].incarnation, eq(&owner));
        expect_that!(owners[0].fraction, all!(ge(0.05), lt(0.5)));
    }
    expect_that!(simulation.core(&leader).overloaded_owner_count(), eq(1));
    simulation.entry_messages.clear();
    send_reports(&mut simulation, &leader, &calm_report(), 8);
    let told = admissions(&simulation);
    let (_, last) = told.last().expect("a last message");
    expect_that!(last.is_empty(), eq(true));
    let empty = told.iter().filter(|(_, owners)| owners.is_empty());
    expect_that!(empty.count(), eq(usize::try_from(ENTRY_VMS).unwrap_or(0)));
    simulation.entry_messages.clear();
    send_reports(&mut simulation, &leader, &calm_report(), 4);
    expect_that!(admissions(&simulation).is_empty(), eq(true));
    expect_that!(admission_notes(&simulation), eq(&vec![true, false]));
}

/// Guards against more than one message in an interval, which thin links would have to carry.
#[gtest]
fn messages_are_sent_at_most_once_in_an_interval() {
    let mut simulation = managed_site();
    let leader = simulation.await_leader();
    let owner = owner_of(&simulation, &leader, 7);
    send_reports(&mut simulation, &leader, &hot_report(&owner, 7), 10);
    let to_first = admissions(&simulation);
    let to_first = to_first.iter().filter(|(link, _)| *link == 1);
    expect_that!(to_first.count(), all!(ge(5), le(11)));
}

/// Earlier releases can't read the message.
#[gtest]
fn entry_vm_that_does_not_accept_admission_is_sent_none() {
    let mut simulation = managed_site();
    let leader = simulation.await_leader();
    let owner = owner_of(&simulation, &leader, 7);
    let report = EntryReport {
        accepts_owner_admission: false,
        ..hot_report(&owner, 7)
    };
    send_reports(&mut simulation, &leader, &report, 6);
    expect_that!(simulation.core(&leader).overloaded_owner_count(), eq(1));
    expect_that!(admissions(&simulation).is_empty(), eq(true));
}

/// All other deployments are served as before.
#[gtest]
fn service_whose_load_is_not_managed_has_no_admission() {
    let mut simulation = site(Simulation::with_leader(3));
    let leader = simulation.await_leader();
    let owner = owner_of(&simulation, &leader, 7);
    send_reports(&mut simulation, &leader, &hot_report(&owner, 7), 6);
    expect_that!(simulation.core(&leader).overloaded_owner_count(), eq(0));
    expect_that!(admissions(&simulation).is_empty(), eq(true));
}

/// The state is soft: a leader that loses the leadership says nothing more, and the next one builds
/// it up from reports.
#[gtest]
fn next_leader_decides_from_the_reports_that_it_gets() {
    let mut simulation = managed_site();
    let former = simulation.await_leader();
    let owner = owner_of(&simulation, &former, 7);
    send_reports(&mut simulation, &former, &hot_report(&owner, 7), 4);
    simulation.kill(&former);
    simulation.entry_messages.clear();
    let leader = simulation.await_leader();
    simulation.run(Duration::from_secs(1));
    expect_that!(simulation.core(&leader).overloaded_owner_count(), eq(0));
    expect_that!(admissions(&simulation).is_empty(), eq(true));
    connect(&mut simulation, &leader);
    let owner = owner_of(&simulation, &leader, 7);
    send_reports(&mut simulation, &leader, &hot_report(&owner, 7), 6);
    expect_that!(simulation.core(&leader).overloaded_owner_count(), eq(1));
    expect_that!(admissions(&simulation).is_empty(), eq(false));
}

/// A server that leaves the registry is throttled no more.
#[gtest]
fn removed_owner_is_not_listed() {
    let mut simulation = managed_site();
    let leader = simulation.await_leader();
    let owner = owner_of(&simulation, &leader, 7);
    send_reports(&mut simulation, &leader, &hot_report(&owner, 7), 4);
    expect_that!(simulation.core(&leader).overloaded_owner_count(), eq(1));
    // A later start under the same id.
    let mut restarted = crate::support::server("server-1", 2, 8001, ServerState::Ready);
    restarted.incarnation = ServerIncarnation::new(owner.server.clone(), 2);
    restarted.address.set_port(8100);
    simulation.call_and_wait(&leader, SiteCall::Announce(restarted));
    simulation.run(Duration::from_secs(1));
    expect_that!(simulation.core(&leader).overloaded_owner_count(), eq(0));
}
