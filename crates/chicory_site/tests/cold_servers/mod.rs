//! What announcements of cold servers lead to, in virtual time.

use std::time::Duration;

use chicory_directory::{
    ControlMessage, DirectoryPosition, EntryMessage, EntryReport, PermitRequest, ServerRecord,
    ServerState, SiteAnswer, SiteCall,
};
use chicory_ranges::ServerIncarnation;
use chicory_site::{SiteEvent, SiteNote};
use googletest::prelude::*;

use crate::support::{Simulation, server, table};

/// Time between two announcements of a server.
const ANNOUNCE_INTERVAL: Duration = Duration::from_millis(870);
const COLD_TIME: Duration = Duration::from_secs(3);

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// Starts a site in which servers of the keyed service have a cold limit.
fn site(has_cold_limit: bool) -> Simulation {
    let mut simulation = Simulation::with_leader(3);
    let leader = simulation.await_leader();
    let mut routes = table(1);
    if has_cold_limit {
        for service in &mut routes.services {
            service.cold_time = Some(COLD_TIME);
            service.cold_rate_millihertz = Some(4_000);
        }
    }
    simulation.call_and_wait(&leader, SiteCall::PutRoutes(routes));
    simulation
}

fn cold(name: &str, cold_for: Duration) -> ServerRecord {
    let port = 8000 + name.bytes().map(u16::from).sum::<u16>();
    let mut record = server(name, 1, port, ServerState::Ready);
    record.cold_for = cold_for;
    record
}

fn announce(simulation: &mut Simulation, vm: &str, cold_for: Duration) -> Option<SiteAnswer> {
    simulation.call_and_wait(vm, SiteCall::Announce(cold("a", cold_for)))
}

/// Returns the number of log entries that were applied, and the cold time of the server.
fn known(simulation: &Simulation, vm: &str) -> (u64, Duration) {
    let state = simulation.core(vm).state();
    let cold_for = state.server("a").map_or(Duration::MAX, |it| it.cold_for);
    (state.version(), cold_for)
}

/// Guards against an entry of the log for each announcement, of which each server sends more than
/// one a second.
#[gtest]
fn cold_period_takes_one_entry_at_its_start_and_one_at_its_end() {
    for at_leader in [true, false] {
        let mut simulation = site(true);
        let leader = simulation.await_leader();
        let vm = if at_leader {
            leader.clone()
        } else {
            simulation.follower()
        };
        announce(&mut simulation, &vm, COLD_TIME);
        simulation.run(ms(100));
        let (first, cold_for) = known(&simulation, &leader);
        expect_that!(cold_for, eq(COLD_TIME));
        let began_at = simulation.now;
        // Keys are divided meanwhile, which takes entries as well; they aren't counted.
        let puts = |simulation: &Simulation| {
            let notes = simulation.notes.iter();
            let changes = notes.filter(|(member, note)| {
                *member == leader && matches!(note, SiteNote::ServerColdChanged { .. })
            });
            changes.count()
        };
        expect_that!(puts(&simulation), eq(1));
        while simulation.now < began_at + COLD_TIME {
            let left = (began_at + COLD_TIME).saturating_sub(simulation.now);
            announce(&mut simulation, &vm, left);
            expect_that!(known(&simulation, &leader).1, eq(COLD_TIME));
            simulation.run(ANNOUNCE_INTERVAL);
        }
        let answer = announce(&mut simulation, &vm, Duration::ZERO);
        expect_that!(answer, some(eq(&SiteAnswer::Done)));
        simulation.run(ms(100));
        let (last, cold_for) = known(&simulation, &leader);
        expect_that!(cold_for, eq(Duration::ZERO));
        expect_that!(last, gt(first));
        expect_that!(puts(&simulation), eq(2));
        let settled = simulation.now + Duration::from_secs(5);
        simulation.run(Duration::from_secs(2));
        let (before, _) = known(&simulation, &leader);
        while simulation.now < settled {
            announce(&mut simulation, &vm, Duration::ZERO);
            simulation.run(ANNOUNCE_INTERVAL);
        }
        expect_that!(known(&simulation, &leader), eq((before, Duration::ZERO)));
    }
}

/// Guards against entries for the same change while the first one is written to disk.
#[gtest]
fn burst_of_repeats_of_a_change_adds_one_entry() {
    for at_leader in [true, false] {
        let mut simulation = site(true);
        let leader = simulation.await_leader();
        let vm = if at_leader {
            leader.clone()
        } else {
            simulation.follower()
        };
        announce(&mut simulation, &vm, Duration::ZERO);
        simulation.run(Duration::from_secs(4));
        let (before, _) = known(&simulation, &leader);
        for cold_for in [COLD_TIME, Duration::ZERO, COLD_TIME] {
            for _ in 0..20 {
                simulation.call(&vm, SiteCall::Announce(cold("a", cold_for)));
            }
            simulation.run(ms(200));
            expect_that!(known(&simulation, &leader).1, eq(cold_for));
        }
        expect_that!(known(&simulation, &leader).0, eq(before + 3));
    }
}

#[gtest]
fn end_that_is_later_by_more_than_half_a_second_is_committed() {
    let mut simulation = site(true);
    let leader = simulation.await_leader();
    announce(&mut simulation, &leader, COLD_TIME);
    simulation.run(ms(1_000));
    // The end is 0.4 s later than stated before, which entry VMs allow for.
    announce(&mut simulation, &leader, ms(2_400));
    simulation.run(ms(50));
    expect_that!(known(&simulation, &leader).1, eq(COLD_TIME));
    announce(&mut simulation, &leader, ms(2_700));
    simulation.run(ms(50));
    expect_that!(known(&simulation, &leader).1, eq(ms(2_700)));
}

/// Earlier deployments state no cold limit, and their servers state a cold time all the same.
#[gtest]
fn cold_time_of_a_service_without_a_cold_limit_is_not_committed() {
    let mut simulation = site(false);
    let leader = simulation.await_leader();
    announce(&mut simulation, &leader, COLD_TIME);
    simulation.run(Duration::from_secs(4));
    let (before, _) = known(&simulation, &leader);
    for cold_for in [Duration::ZERO, COLD_TIME, Duration::ZERO] {
        announce(&mut simulation, &leader, cold_for);
        simulation.run(ms(100));
    }
    expect_that!(known(&simulation, &leader), eq((before, COLD_TIME)));
    expect_that!(simulation.core(&leader).cold_count(), eq(0));
}

/// An announcement that says that a server is warm may have been sent before the evacuation ended.
#[gtest]
fn no_server_is_taken_as_warm_just_after_an_evacuation() {
    let mut simulation = site(true);
    let leader = simulation.await_leader();
    let follower = simulation.follower();
    announce(&mut simulation, &leader, Duration::ZERO);
    let zone = "north".to_owned();
    simulation.call_and_wait(&leader, SiteCall::BeginEvacuation(zone.clone()));
    simulation.run(ms(100));
    let finish = SiteCall::FinishEvacuation(zone);
    let caller = simulation.call(&leader, finish);
    // This one is proposed before the end of the evacuation is applied.
    simulation.call(&leader, SiteCall::Announce(cold("a", Duration::ZERO)));
    let mut draining = cold("a", Duration::ZERO);
    draining.state = ServerState::Draining;
    simulation.run(ms(100));
    expect_that!(
        simulation.answers.remove(&caller),
        some(eq(&SiteAnswer::Done))
    );
    for vm in [&leader, &follower] {
        let answer = announce(&mut simulation, vm, Duration::ZERO);
        expect_that!(answer, some(eq(&SiteAnswer::Done)));
        expect_that!(known(&simulation, &leader).1, eq(COLD_TIME));
    }
    // Another change is committed, but not that the server is warm.
    simulation.call_and_wait(&leader, SiteCall::Announce(draining));
    expect_that!(known(&simulation, &leader).1, eq(COLD_TIME));
    simulation.run(Duration::from_secs(1));
    announce(&mut simulation, &leader, Duration::ZERO);
    simulation.run(ms(50));
    expect_that!(known(&simulation, &leader).1, eq(Duration::ZERO));
}

/// Guards against a member that forgets a cold server, or keeps it cold for good, after a restart.
#[gtest]
fn cold_servers_survive_the_loss_of_all_processes() {
    let mut simulation = site(true);
    let leader = simulation.await_leader();
    announce(&mut simulation, &leader, COLD_TIME);
    simulation.run(ms(100));
    let vms = simulation.vm_names();
    for vm in &vms {
        simulation.kill(vm);
    }
    for vm in &vms {
        simulation.start(vm);
    }
    let leader = simulation.await_leader();
    expect_that!(known(&simulation, &leader).1, eq(COLD_TIME));
    expect_that!(simulation.core(&leader).cold_count(), eq(1));
    announce(&mut simulation, &leader, Duration::ZERO);
    simulation.run(ms(50));
    expect_that!(simulation.core(&leader).cold_count(), eq(0));
}

/// Connects an entry VM to a control VM.
fn connect(simulation: &mut Simulation, control_vm: &str) {
    let connected = SiteEvent::EntryConnected {
        link: 1,
        vm: "entry-1".into(),
        zone: "north".into(),
        known: DirectoryPosition::default(),
        relay_address: None,
        cpu_share: None,
    };
    simulation.handle_event(control_vm, connected);
}

/// Returns the permits that a leader grants for a server at once.
fn granted(simulation: &mut Simulation, leader: &str, requested_rate_per_s: f64) -> u32 {
    let report = EntryReport {
        permits: vec![PermitRequest {
            incarnation: ServerIncarnation::new("a", 1),
            rank: 0,
            count: 40,
            rate_per_s: requested_rate_per_s,
        }],
        accepts_server_limits: true,
        ..EntryReport::default()
    };
    simulation.entry_messages.clear();
    let message = EntryMessage::Report(report);
    simulation.handle_event(leader, SiteEvent::EntrySent { link: 1, message });
    simulation.run(ms(30));
    let messages = simulation.entry_messages.iter();
    let permits = messages.filter_map(|(_, _, message)| match message {
        ControlMessage::ServerLimits(update) => Some(&update.permits),
        _ => None,
    });
    permits.flatten().map(|answer| answer.granted).sum()
}

/// The leader knows the record and the table, so a request for permits can't raise the limit.
#[gtest]
fn leader_decides_by_the_cold_limit_whatever_a_request_states() {
    for rate_per_s in [4.0, 1_000.0] {
        let mut simulation = site(true);
        let leader = simulation.await_leader();
        announce(&mut simulation, &leader, COLD_TIME);
        simulation.run(ms(50));
        connect(&mut simulation, &leader);
        granted(&mut simulation, &leader, rate_per_s);
        simulation.run(ms(300));
        // In 0.3 s, 1.2 permits come at the cold rate, and 300 at the greater one.
        let granted = granted(&mut simulation, &leader, rate_per_s);
        expect_that!(granted, le(2), "{rate_per_s}");
    }
}
