//! Checks what operators, backend servers and entry VMs observe of a site during failures, in
//! virtual time.

mod cold_servers;
mod control_groups;
mod entry_reports;
mod evacuations;
mod full_disks;
mod grants;
mod owner_admission;
mod server_shares;
mod support;

use std::time::Duration;

use chicory_directory::{
    ControlMessage, DirectoryPosition, EntryMessage, EntryReport, KeyCount, PermitRequest,
    PoisonReport, ServerState, SiteAnswer, SiteCall,
};
use chicory_ranges::ServerIncarnation;
use chicory_site::SiteEvent;
use googletest::prelude::*;
use support::{Simulation, server, table, vm_name};

fn announce(name: &str, port: u16, state: ServerState) -> SiteCall {
    SiteCall::Announce(server(name, 1, port, state))
}

#[gtest]
fn table_is_acknowledged_and_read_back_at_any_member() {
    let mut simulation = Simulation::with_leader(3);
    let follower = simulation.follower();
    let put = simulation.call_and_wait(&follower, SiteCall::PutRoutes(table(7)));
    expect_that!(put, some(eq(&SiteAnswer::Done)));
    for index in 1..=3 {
        let read = simulation.call_and_wait(&vm_name(index), SiteCall::ReadRoutes);
        expect_that!(read, some(eq(&SiteAnswer::Routes(table(7)))));
    }
}

#[gtest]
fn highest_version_wins_and_other_content_with_the_same_version_is_ignored() {
    let mut simulation = Simulation::with_leader(3);
    let leader = simulation.await_leader();
    simulation.call_and_wait(&leader, SiteCall::PutRoutes(table(7)));
    let mut other = table(7);
    other.routes.clear();
    for sent in [table(3), other] {
        let answer = simulation.call_and_wait(&leader, SiteCall::PutRoutes(sent));
        expect_that!(answer, some(eq(&SiteAnswer::Done)));
    }
    let read = simulation.call_and_wait(&leader, SiteCall::ReadRoutes);
    expect_that!(read, some(eq(&SiteAnswer::Routes(table(7)))));
}

#[gtest]
fn isolated_leader_acknowledges_and_reads_nothing() {
    let mut simulation = Simulation::with_leader(3);
    let old = simulation.await_leader();
    simulation.call_and_wait(&old, SiteCall::PutRoutes(table(7)));
    let ready = announce("server-1", 8001, ServerState::Ready);
    simulation.call_and_wait(&old, ready);
    simulation.set_isolated(&old, true);
    simulation.run(Duration::from_secs(2));
    let new = simulation.await_leader();
    expect_that!(new, not(eq(&old)));
    expect_that!(
        simulation.call_and_wait(&new, SiteCall::PutRoutes(table(8))),
        some(eq(&SiteAnswer::Done))
    );
    let calls = [
        SiteCall::ReadRoutes,
        SiteCall::PutRoutes(table(9)),
        announce("server-1", 8001, ServerState::Draining),
        SiteCall::Leave {
            server: "server-1".into(),
            started_at_ms: None,
        },
    ];
    for call in calls {
        expect_that!(
            simulation.call_and_wait(&old, call),
            some(eq(&SiteAnswer::Unavailable))
        );
    }
    simulation.set_isolated(&old, false);
    simulation.run(Duration::from_secs(2));
    let read = simulation.call_and_wait(&old, SiteCall::ReadRoutes);
    expect_that!(read, some(eq(&SiteAnswer::Routes(table(8)))));
}

#[gtest]
fn acknowledged_table_survives_a_restart_of_all_members() {
    let mut simulation = Simulation::with_leader(3);
    let leader = simulation.await_leader();
    simulation.call_and_wait(&leader, SiteCall::PutRoutes(table(7)));
    for index in 1..=3 {
        simulation.kill(&vm_name(index));
    }
    for index in 1..=3 {
        simulation.start(&vm_name(index));
    }
    let leader = simulation.await_leader();
    let read = simulation.call_and_wait(&leader, SiteCall::ReadRoutes);
    expect_that!(read, some(eq(&SiteAnswer::Routes(table(7)))));
}

#[gtest]
fn founder_restarted_before_the_group_exists_still_founds_it() {
    let mut simulation = Simulation::new(3);
    simulation.run(Duration::from_millis(30));
    simulation.kill(&vm_name(2));
    simulation.run(Duration::from_millis(500));
    simulation.start(&vm_name(2));
    simulation.await_leader();
}

#[gtest]
fn lost_voter_is_replaced_by_an_empty_one_at_another_address() {
    let mut simulation = Simulation::with_leader(3);
    let leader = simulation.await_leader();
    simulation.call_and_wait(&leader, SiteCall::PutRoutes(table(7)));
    let lost = simulation.follower();
    simulation.kill(&lost);
    simulation.add("10.9.0.1:7540", false);
    simulation.run(Duration::from_secs(9));
    // The group of the two survivors and the new member tolerates the loss of another member.
    let leader = simulation.await_leader();
    simulation.kill(&leader);
    let next = simulation.await_leader();
    let read = simulation.call_and_wait(&next, SiteCall::ReadRoutes);
    expect_that!(read, some(eq(&SiteAnswer::Routes(table(7)))));
    expect_that!(
        simulation.call_and_wait(&next, SiteCall::PutRoutes(table(8))),
        some(eq(&SiteAnswer::Done))
    );
}

#[gtest]
fn member_that_lost_its_disk_rejoins_without_forming_a_group() {
    let mut simulation = Simulation::with_leader(3);
    let leader = simulation.await_leader();
    simulation.call_and_wait(&leader, SiteCall::PutRoutes(table(7)));
    let wiped = simulation.follower();
    simulation.kill(&wiped);
    simulation.add(&wiped, false);
    simulation.run(Duration::from_secs(3));
    let read = simulation.call_and_wait(&wiped, SiteCall::ReadRoutes);
    expect_that!(read, some(eq(&SiteAnswer::Routes(table(7)))));
    let leader = simulation.await_leader();
    if leader != wiped {
        simulation.kill(&leader);
    }
    simulation.await_leader();
}

#[gtest]
fn leader_with_a_full_disk_is_replaced() {
    let mut simulation = Simulation::with_leader(3);
    let full = simulation.await_leader();
    simulation.set_disk_full(&full, true);
    simulation.call_and_wait(&full, SiteCall::PutRoutes(table(7)));
    simulation.run(Duration::from_secs(2));
    let next = simulation.await_leader();
    expect_that!(next, not(eq(&full)));
    expect_that!(
        simulation.call_and_wait(&next, SiteCall::PutRoutes(table(8))),
        some(eq(&SiteAnswer::Done))
    );
    expect_that!(
        simulation.call_and_wait(&full, SiteCall::ReadRoutes),
        some(eq(&SiteAnswer::Unavailable))
    );
}

#[gtest]
fn announcements_of_ended_incarnations_change_nothing() {
    let mut simulation = Simulation::with_leader(3);
    let leader = simulation.await_leader();
    simulation.call_and_wait(&leader, SiteCall::PutRoutes(table(1)));
    let later = server("server-1", 5, 8001, ServerState::Ready);
    simulation.call_and_wait(&leader, SiteCall::Announce(later.clone()));
    let former = server("server-1", 4, 8001, ServerState::Ready);
    expect_that!(
        simulation.call_and_wait(&leader, SiteCall::Announce(former)),
        some(eq(&SiteAnswer::Stale))
    );
    // Another server has the address: the former holder has ended.
    let next = server("server-2", 9, 8001, ServerState::Ready);
    simulation.call_and_wait(&leader, SiteCall::Announce(next));
    expect_that!(
        simulation.call_and_wait(&leader, SiteCall::Announce(later)),
        some(eq(&SiteAnswer::Stale))
    );
    let state = simulation.core(&leader).state();
    expect_that!(state.server("server-1"), none());
}

#[gtest]
fn late_announcement_does_not_restore_a_server() {
    let mut simulation = Simulation::with_leader(3);
    let leader = simulation.await_leader();
    simulation.call_and_wait(&leader, SiteCall::PutRoutes(table(1)));
    simulation.call_and_wait(&leader, announce("server-1", 8001, ServerState::Draining));
    simulation.call_and_wait(&leader, announce("server-1", 8001, ServerState::Ready));
    let state = simulation.core(&leader).state();
    let known = state.server("server-1").map(|record| record.state);
    expect_that!(known, some(eq(ServerState::Draining)));
    let leave = SiteCall::Leave {
        server: "server-1".into(),
        started_at_ms: Some(1),
    };
    simulation.call_and_wait(&leader, leave);
    let late = simulation.call_and_wait(&leader, announce("server-1", 8001, ServerState::Ready));
    expect_that!(late, some(eq(&SiteAnswer::Stale)));
}

#[gtest]
fn delayed_announcement_does_not_remove_the_server_that_got_its_address() {
    let mut simulation = Simulation::with_leader(3);
    let leader = simulation.await_leader();
    simulation.call_and_wait(&leader, SiteCall::PutRoutes(table(1)));
    let current = announce("server-2", 8001, ServerState::Ready);
    simulation.call_and_wait(&leader, current.clone());
    simulation.run(Duration::from_secs(1));
    // The process that had the address before has ended; its announcement is received only now.
    let delayed = announce("server-1", 8001, ServerState::Ready);
    let answer = simulation.call_and_wait(&leader, delayed.clone());
    expect_that!(answer, some(eq(&SiteAnswer::Unavailable)));
    expect_that!(
        simulation.core(&leader).state().server("server-2"),
        some(anything())
    );
    // An address stays free for two seconds before another server gets it.
    simulation.run(Duration::from_secs(2));
    let answer = simulation.call_and_wait(&leader, delayed);
    expect_that!(answer, some(eq(&SiteAnswer::Done)));
    expect_that!(simulation.core(&leader).state().server("server-2"), none());
}

/// Guards against a running server that loses its keys and is refused from then on, because a delayed
/// announcement of a process that ended before arrives while its own are late.
#[gtest]
fn single_delayed_announcement_does_not_end_a_silent_server() {
    let mut simulation = Simulation::with_leader(3);
    let leader = simulation.await_leader();
    simulation.call_and_wait(&leader, SiteCall::PutRoutes(table(1)));
    let current = announce("server-2", 8001, ServerState::Ready);
    simulation.call_and_wait(&leader, current.clone());
    simulation.run(Duration::from_secs(3));
    let delayed = announce("server-1", 8001, ServerState::Ready);
    // Announcements that were delayed together arrive together.
    for _ in 0..2 {
        let answer = simulation.call_and_wait(&leader, delayed.clone());
        expect_that!(answer, some(eq(&SiteAnswer::Unavailable)));
    }
    simulation.run(Duration::from_secs(1));
    let answer = simulation.call_and_wait(&leader, current);
    expect_that!(answer, some(eq(&SiteAnswer::Done)));
    let state = simulation.core(&leader).state();
    expect_that!(state.server("server-2"), some(anything()));
    expect_that!(state.server("server-1"), none());
}

#[gtest]
fn announcement_for_an_unknown_service_is_refused_and_changes_nothing() {
    let mut simulation = Simulation::with_leader(3);
    let leader = simulation.await_leader();
    simulation.call_and_wait(&leader, SiteCall::PutRoutes(table(1)));
    simulation.call_and_wait(&leader, announce("server-1", 8001, ServerState::Ready));
    let mut foreign = server("server-1", 1, 8001, ServerState::Ready);
    foreign.service = "nowhere".into();
    expect_that!(
        simulation.call_and_wait(&leader, SiteCall::Announce(foreign)),
        some(eq(&SiteAnswer::UnknownService))
    );
    let state = simulation.core(&leader).state();
    let service = state
        .server("server-1")
        .map(|record| record.service.clone());
    expect_that!(service, some(eq("archive")));
}

#[gtest]
fn entry_vm_receives_changes_and_the_loss_of_the_leader() {
    let mut simulation = Simulation::with_leader(3);
    let leader = simulation.await_leader();
    let connected = SiteEvent::EntryConnected {
        link: 1,
        vm: "entry-1".into(),
        zone: "north".into(),
        known: DirectoryPosition::default(),
        relay_address: None,
        cpu_share: None,
    };
    let follower = simulation.follower();
    simulation.handle_event(&follower, connected);
    for _ in 0..2 {
        let message = EntryMessage::Report(EntryReport::default());
        simulation.handle_event(&follower, SiteEvent::EntrySent { link: 1, message });
    }
    simulation.call_and_wait(&leader, SiteCall::PutRoutes(table(3)));
    simulation.run(Duration::from_millis(300));
    let routes = simulation
        .entry_messages
        .iter()
        .find_map(|(_, _, message)| match message {
            ControlMessage::Update(update) => update.routes.as_ref().map(|routes| routes.version),
            _ => None,
        });
    expect_that!(routes, some(eq(3)));
    simulation.entry_messages.clear();
    simulation.kill(&leader);
    simulation.run(Duration::from_millis(600));
    let leaderless = simulation.entry_messages.iter().any(|(_, _, message)| {
        matches!(message, ControlMessage::Status(status) if !status.is_in_contact)
    });
    expect_that!(leaderless, eq(true));
}

#[gtest]
fn redirected_entry_vm_receives_no_update_from_a_follower() {
    let mut simulation = Simulation::with_leader(3);
    let leader = simulation.await_leader();
    simulation.call_and_wait(&leader, SiteCall::PutRoutes(table(3)));
    simulation.run(Duration::from_millis(300));
    let follower = simulation.follower();
    for (vm, expects_update) in [(&follower, false), (&leader, true)] {
        let connected = SiteEvent::EntryConnected {
            link: 1,
            vm: "entry-1".into(),
            zone: "north".into(),
            known: DirectoryPosition::default(),
            relay_address: None,
            cpu_share: None,
        };
        simulation.entry_messages.clear();
        simulation.handle_event(vm, connected);
        simulation.run(Duration::from_millis(300));
        let mut messages = simulation.entry_messages.iter();
        let has_update = messages.any(|(_, _, m)| matches!(m, ControlMessage::Update(_)));
        expect_that!(has_update, eq(expects_update), "{vm}");
    }
}

#[gtest]
fn control_vm_that_lacks_committed_tables_reports_no_contact() {
    let mut simulation = Simulation::with_leader(3);
    let leader = simulation.await_leader();
    let lagging = simulation.follower();
    simulation.call_and_wait(&leader, SiteCall::PutRoutes(table(1)));
    simulation.run(Duration::from_millis(300));
    simulation.kill(&lagging);
    for version in 2..=5 {
        simulation.call_and_wait(&leader, SiteCall::PutRoutes(table(version)));
    }
    simulation.entry_messages.clear();
    simulation.start(&lagging);
    let connected = SiteEvent::EntryConnected {
        link: 1,
        vm: "entry-1".into(),
        zone: "north".into(),
        known: DirectoryPosition::default(),
        relay_address: None,
        cpu_share: None,
    };
    simulation.handle_event(&lagging, connected);
    for _ in 0..100 {
        let message = EntryMessage::Report(EntryReport::default());
        simulation.handle_event(&lagging, SiteEvent::EntrySent { link: 1, message });
        simulation.step();
    }
    let statuses = simulation
        .entry_messages
        .iter()
        .filter_map(|(_, _, m)| match m {
            ControlMessage::Status(status) if status.is_in_contact => Some(status.routes_version),
            _ => None,
        });
    let versions: Vec<u64> = statuses.collect();
    expect_that!(versions, len(gt(0)));
    expect_that!(versions, each(eq(&5)));
}

#[gtest]
fn request_that_crashes_two_servers_is_held_back_everywhere() {
    let mut simulation = Simulation::with_leader(3);
    let leader = simulation.await_leader();
    let connected = SiteEvent::EntryConnected {
        link: 1,
        vm: "entry-1".into(),
        zone: "north".into(),
        known: DirectoryPosition::default(),
        relay_address: None,
        cpu_share: None,
    };
    simulation.handle_event(&leader, connected);
    for server in ["server-1", "server-2"] {
        let report = EntryReport {
            keys: vec![KeyCount {
                service: "archive".into(),
                key: 7,
                request_count: 2,
            }],
            servers: Vec::new(),
            poison: vec![PoisonReport {
                fingerprint: 99,
                life: ServerIncarnation::new(server, 1),
            }],
            ..EntryReport::default()
        };
        let message = EntryMessage::Report(report);
        simulation.handle_event(&leader, SiteEvent::EntrySent { link: 1, message });
    }
    simulation.run(Duration::from_millis(20));
    let held_back = simulation.entry_messages.iter().any(|(_, _, message)| {
        matches!(message, ControlMessage::Status(status) if status.poison == [99])
    });
    expect_that!(held_back, eq(true));
}

/// After an election, requests for permits may arrive before the limits that they are for.
#[gtest]
fn new_leader_issues_permits_by_the_limit_that_the_request_states() {
    let mut simulation = Simulation::with_leader(3);
    let leader = simulation.await_leader();
    simulation.call_and_wait(&leader, SiteCall::PutRoutes(table(7)));
    let ready = announce("server-1", 8001, ServerState::Ready);
    simulation.call_and_wait(&leader, ready);
    let connected = SiteEvent::EntryConnected {
        link: 1,
        vm: "entry-1".into(),
        zone: "north".into(),
        known: DirectoryPosition::default(),
        relay_address: None,
        cpu_share: None,
    };
    simulation.handle_event(&leader, connected);
    let report = EntryReport {
        permits: vec![PermitRequest {
            incarnation: ServerIncarnation::new("server-1", 1),
            rank: 0,
            count: 20,
            rate_per_s: 2.0,
        }],
        accepts_server_limits: true,
        can_relay: true,
        ..EntryReport::default()
    };
    let message = EntryMessage::Report(report);
    simulation.handle_event(&leader, SiteEvent::EntrySent { link: 1, message });
    simulation.run(Duration::from_millis(20));
    let messages = simulation.entry_messages.iter();
    let answers = messages.filter_map(|(_, _, message)| match message {
        ControlMessage::ServerLimits(update) => update.permits.first(),
        _ => None,
    });
    let granted: Vec<u32> = answers.map(|answer| answer.granted).collect();
    expect_that!(granted, elements_are![le(&3)]);
}
