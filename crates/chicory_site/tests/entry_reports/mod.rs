//! What entry VMs report while they are cut off from all backend servers.

use std::net::SocketAddr;
use std::time::Duration;

use chicory_directory::{
    ControlMessage, DirectoryPosition, EntryMessage, EntryReport, PoisonReport, ReportedLimit,
    ServerLoad, ServerState, SiteCall,
};
use chicory_ranges::ServerIncarnation;
use chicory_site::{SiteEvent, SiteNote};
use googletest::prelude::*;

use crate::announce;
use crate::support::{Simulation, table};

const SERVERS: u16 = 4;
const REPORT_INTERVAL: Duration = Duration::from_millis(350);
/// Number of reports during a cut of 12 seconds.
const REPORTS: usize = 34;
/// Reports between two announcements of a server: it announces itself about once a second.
const REPORTS_PER_ANNOUNCEMENT: usize = 3;

fn incarnation(index: u16) -> ServerIncarnation {
    ServerIncarnation::new(format!("server-{index}"), 1)
}

/// Starts a site with servers that own keys.
fn site_with_servers() -> Simulation {
    let mut simulation = Simulation::with_leader(3);
    let leader = simulation.await_leader();
    simulation.call_and_wait(&leader, SiteCall::PutRoutes(table(1)));
    announce_servers(&mut simulation, &leader);
    simulation.run(Duration::from_secs(2));
    announce_servers(&mut simulation, &leader);
    simulation
}

fn announce_servers(simulation: &mut Simulation, leader: &str) {
    for index in 1..=SERVERS {
        let name = format!("server-{index}");
        let call = announce(&name, 8000 + index, ServerState::Ready);
        simulation.call_and_wait(leader, call);
    }
}

/// Connects an entry VM that takes part in relaying.
fn connect(simulation: &mut Simulation, control_vm: &str) {
    let connected = SiteEvent::EntryConnected {
        link: 1,
        vm: "entry-1".into(),
        zone: "north".into(),
        known: DirectoryPosition::default(),
        relay_address: Some(SocketAddr::from(([10, 1, 0, 1], 7560))),
        cpu_share: None,
    };
    simulation.handle_event(control_vm, connected);
}

fn send(simulation: &mut Simulation, control_vm: &str, report: EntryReport) {
    let message = EntryMessage::Report(report);
    simulation.handle_event(control_vm, SiteEvent::EntrySent { link: 1, message });
}

/// Returns loads in which only the first server times out and rejects connections.
fn distorted_loads() -> Vec<ServerLoad> {
    let loads = (1..=SERVERS).map(|index| ServerLoad {
        incarnation: incarnation(index),
        in_flight: 0,
        answered: 10,
        shed: if index == 1 { 30 } else { 0 },
        service_time: Duration::from_millis(if index == 1 { 10_000 } else { 200 }),
        stated: None,
    });
    loads.collect()
}

/// Returns how many times keys moved while an entry VM reported distorted loads.
fn moves_during_reports(control_vm: &str, simulation: &mut Simulation, can_relay: bool) -> usize {
    let leader = simulation.await_leader();
    connect(simulation, control_vm);
    simulation.notes.clear();
    for index in 0..REPORTS {
        if index % REPORTS_PER_ANNOUNCEMENT == 0 {
            announce_servers(simulation, &leader);
        }
        let report = EntryReport {
            servers: distorted_loads(),
            can_relay,
            ..EntryReport::default()
        };
        send(simulation, control_vm, report);
        simulation.run(REPORT_INTERVAL);
    }
    let notes = simulation.notes.iter();
    let moves = notes.filter(|(_, note)| matches!(note, SiteNote::RangeMoved { .. }));
    moves.count()
}

/// Guards against planning keys by the timeouts and resets of an entry VM that is cut off.
#[gtest]
fn loads_reported_by_an_entry_vm_that_is_cut_off_move_no_keys() {
    for follows_leader in [true, false] {
        for can_relay in [false, true] {
            let mut simulation = site_with_servers();
            let control_vm = if follows_leader {
                simulation.await_leader()
            } else {
                simulation.follower()
            };
            let moves = moves_during_reports(&control_vm, &mut simulation, can_relay);
            expect_that!(moves > 0, eq(can_relay), "{follows_leader}, {moves} moves");
        }
    }
}

fn crash_report(index: u16, can_relay: bool) -> EntryReport {
    EntryReport {
        poison: vec![PoisonReport {
            fingerprint: 99,
            life: incarnation(index),
        }],
        can_relay,
        ..EntryReport::default()
    }
}

/// Returns whether control VMs have the request of the crash reports held back.
fn is_held_back(simulation: &mut Simulation) -> bool {
    simulation.entry_messages.clear();
    simulation.run(Duration::from_millis(20));
    let leader = simulation.await_leader();
    send(simulation, &leader, EntryReport::default());
    simulation.entry_messages.iter().any(|(_, _, message)| {
        matches!(message, ControlMessage::Status(status) if status.poison == [99])
    })
}

/// While the network is cut, connections break and new ones are reset, as when a server crashes.
#[gtest]
fn request_is_not_held_back_for_what_an_entry_vm_reports_while_it_is_cut_off() {
    let mut simulation = site_with_servers();
    let leader = simulation.await_leader();
    connect(&mut simulation, &leader);
    send(&mut simulation, &leader, crash_report(1, false));
    send(&mut simulation, &leader, crash_report(2, false));
    expect_that!(is_held_back(&mut simulation), eq(false));
    // The first report after the cut covers the end of the cut.
    send(&mut simulation, &leader, crash_report(3, true));
    send(&mut simulation, &leader, crash_report(4, true));
    expect_that!(is_held_back(&mut simulation), eq(false));
    send(
        &mut simulation,
        &leader,
        EntryReport {
            can_relay: true,
            ..EntryReport::default()
        },
    );
    send(&mut simulation, &leader, crash_report(1, true));
    expect_that!(is_held_back(&mut simulation), eq(true));
}

/// Servers state these themselves, in answers that reached the entry VM.
#[gtest]
fn notices_of_servers_count_when_an_entry_vm_that_is_cut_off_reports_them() {
    let mut simulation = site_with_servers();
    let leader = simulation.await_leader();
    connect(&mut simulation, &leader);
    let report = EntryReport {
        servers: distorted_loads(),
        leaving: vec![incarnation(2)],
        limits: vec![ReportedLimit {
            incarnation: incarnation(3),
            rate_per_s: Some(5.0),
            sent_age: Duration::ZERO,
            received_age: Duration::ZERO,
        }],
        ..EntryReport::default()
    };
    send(&mut simulation, &leader, report);
    let has_note = |expected: &SiteNote| simulation.notes.iter().any(|(_, note)| note == expected);
    expect_that!(
        has_note(&SiteNote::ServerSaysItLeaves {
            server_incarnation: incarnation(2)
        }),
        eq(true)
    );
    expect_that!(
        has_note(&SiteNote::ServerLimitChanged {
            server_incarnation: incarnation(3),
            rate_per_s: Some(5.0),
        }),
        eq(true)
    );
}

/// A report stays periodic, and is answered, when nothing in it but limits counts.
#[gtest]
fn entry_vm_that_is_cut_off_gets_a_status_and_is_recorded_as_such() {
    let mut simulation = site_with_servers();
    let leader = simulation.await_leader();
    connect(&mut simulation, &leader);
    simulation.run(Duration::from_millis(20));
    simulation.entry_messages.clear();
    let report = EntryReport {
        servers: distorted_loads(),
        limits: vec![ReportedLimit {
            incarnation: incarnation(3),
            rate_per_s: Some(5.0),
            sent_age: Duration::ZERO,
            received_age: Duration::ZERO,
        }],
        ..EntryReport::default()
    };
    send(&mut simulation, &leader, report);
    let mut messages = simulation.entry_messages.iter();
    let has_status = messages.any(|(_, _, message)| matches!(message, ControlMessage::Status(_)));
    expect_that!(has_status, eq(true));
    expect_that!(simulation.core(&leader).unable_to_relay_count(), eq(1));
}
