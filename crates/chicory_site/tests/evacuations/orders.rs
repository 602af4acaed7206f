//! Orders of operators, and what survives failures.

use std::time::Duration;

use chicory_directory::{ControlMessage, DirectoryPosition, SiteAnswer, SiteCall};
use chicory_site::{SiteEvent, SiteNote};
use googletest::prelude::*;

use super::{announcement, begin, evacuated, finish, order, site_with_servers};
use crate::support::{Simulation, vm_name};

/// Guards against a repeated order that is refused or that changes something, whichever control VM
/// gets it.
#[gtest]
fn repeated_orders_are_acknowledged_by_any_member_and_change_nothing() {
    let mut simulation = site_with_servers([1, 1, 0]);
    for _ in 0..2 {
        for index in 1..=3 {
            order(&mut simulation, &vm_name(index), begin("north"));
        }
    }
    let leader = simulation.await_leader();
    expect_that!(evacuated(&simulation, &leader), elements_are![eq("north")]);
    let begun = |note: &SiteNote| matches!(note, SiteNote::EvacuationBegun { .. });
    let lines = simulation
        .notes
        .iter()
        .filter(|(vm, note)| *vm == leader && begun(note));
    expect_that!(lines.count(), eq(1));
    for _ in 0..2 {
        for index in 1..=3 {
            order(&mut simulation, &vm_name(index), finish("north"));
        }
    }
    expect_that!(evacuated(&simulation, &leader).len(), eq(0));
}

/// Guards against an order for a zone that nobody has, which would be acknowledged without any effect.
#[gtest]
fn unknown_zone_is_refused_with_a_typed_answer_at_any_member() {
    let mut simulation = site_with_servers([1, 1, 0]);
    for index in 1..=3 {
        for call in [begin("west"), finish("west"), begin(""), finish("North")] {
            let answer = simulation.call_and_wait(&vm_name(index), call);
            expect_that!(answer, some(eq(&SiteAnswer::UnknownZone)));
        }
    }
    let leader = simulation.await_leader();
    simulation.call_and_wait(&leader, announcement(9, "west"));
    order(&mut simulation, &leader, begin("west"));
}

/// Guards against settings that are not heeded: with zones in the settings, only these are known.
#[gtest]
fn only_zones_of_the_settings_are_known_if_the_settings_have_any() {
    let mut simulation = Simulation::new(0);
    simulation.known_zones = ["south".to_owned()].into();
    let names: Vec<String> = (1..=3).map(vm_name).collect();
    simulation.set_seeds(&names);
    for name in &names {
        simulation.add(name, true);
    }
    let leader = simulation.await_leader();
    simulation.call_and_wait(&leader, announcement(1, "north"));
    let answer = simulation.call_and_wait(&leader, begin("north"));
    expect_that!(answer, some(eq(&SiteAnswer::UnknownZone)));
    order(&mut simulation, &leader, begin("south"));
}

/// Guards against an evacuation that can't be ended because its zone has left the settings.
#[gtest]
fn evacuated_zone_that_left_the_settings_can_be_finished() {
    let mut simulation = site_with_servers([1, 1, 0]);
    let leader = simulation.await_leader();
    order(&mut simulation, &leader, begin("north"));
    simulation.known_zones = ["south".to_owned()].into();
    for index in 1..=3 {
        simulation.kill(&vm_name(index));
    }
    for index in 1..=3 {
        simulation.start(&vm_name(index));
    }
    let leader = simulation.await_leader();
    order(&mut simulation, &leader, begin("north"));
    order(&mut simulation, &leader, finish("north"));
    let answer = simulation.call_and_wait(&leader, begin("north"));
    expect_that!(answer, some(eq(&SiteAnswer::UnknownZone)));
}

/// Guards against members that disagree about two operators' orders at the same moment.
#[gtest]
fn orders_of_two_operators_at_once_take_effect_in_log_order_on_all_members() {
    let mut simulation = site_with_servers([1, 1, 0]);
    for round in 0..8 {
        let one = vm_name(1 + round % 3);
        let other = vm_name(1 + (round + 1) % 3);
        let callers = [
            simulation.call(&one, begin("north")),
            simulation.call(&other, finish("north")),
        ];
        simulation.run(Duration::from_millis(200));
        for caller in callers {
            let answer = simulation.answers.remove(&caller);
            expect_that!(answer, some(eq(&SiteAnswer::Done)));
        }
        let states: Vec<_> = (1..=3)
            .map(|index| evacuated(&simulation, &vm_name(index)))
            .collect();
        expect_that!(states[1], eq(&states[0]));
        expect_that!(states[2], eq(&states[0]));
    }
}

/// Guards against an order that is acknowledged and lost, or obeyed twice, when the leader is killed
/// after the commit and before the answer.
#[gtest]
fn order_is_in_force_after_the_loss_of_the_leader_between_commit_and_answer() {
    let mut simulation = site_with_servers([1, 1, 0]);
    let leader = simulation.await_leader();
    let follower = simulation.follower();
    simulation.call(&follower, begin("north"));
    while evacuated(&simulation, &leader).is_empty() {
        simulation.step();
    }
    simulation.kill(&leader);
    let next = simulation.await_leader();
    expect_that!(evacuated(&simulation, &next), elements_are![eq("north")]);
    order(&mut simulation, &follower, begin("north"));
    expect_that!(evacuated(&simulation, &next), elements_are![eq("north")]);
}

/// Guards against state that is only in memory, or in a log that snapshots have replaced.
#[gtest]
fn evacuation_survives_a_restart_of_all_members_and_the_loss_of_a_disk() {
    let mut simulation = site_with_servers([1, 1, 0]);
    let leader = simulation.await_leader();
    order(&mut simulation, &leader, begin("north"));
    for index in 1..=3 {
        simulation.kill(&vm_name(index));
    }
    simulation.add(&leader, false);
    for index in (1..=3).filter(|index| vm_name(*index) != leader) {
        simulation.start(&vm_name(index));
    }
    let next = simulation.await_leader();
    simulation.run(Duration::from_secs(2));
    for vm in [&next, &leader] {
        expect_that!(evacuated(&simulation, vm), elements_are![eq("north")]);
    }
}

/// Guards against a list that a member gives by its own state, which may be behind.
#[gtest]
fn every_member_lists_what_was_acknowledged() {
    let mut simulation = site_with_servers([1, 1, 0]);
    let lists = |simulation: &mut Simulation, expected: &[&str]| {
        let zones = expected.iter().map(|zone| (*zone).to_owned()).collect();
        let expected = SiteAnswer::EvacuatedZones(zones);
        for index in 1..=3 {
            let read = simulation.call_and_wait(&vm_name(index), SiteCall::ReadEvacuations);
            expect_that!(read, some(eq(&expected)));
        }
    };
    let follower = simulation.follower();
    lists(&mut simulation, &[]);
    order(&mut simulation, &follower, begin("north"));
    lists(&mut simulation, &["north"]);
    order(&mut simulation, &follower, finish("north"));
    lists(&mut simulation, &[]);
}

/// Guards against orders that a cut-off former leader acknowledges.
#[gtest]
fn isolated_leader_acknowledges_no_order() {
    let mut simulation = site_with_servers([1, 1, 0]);
    let old = simulation.await_leader();
    simulation.set_isolated(&old, true);
    simulation.run(Duration::from_secs(2));
    for call in [begin("north"), finish("north"), SiteCall::ReadEvacuations] {
        let answer = simulation.call_and_wait(&old, call);
        expect_that!(answer, some(eq(&SiteAnswer::Unavailable)));
    }
}

/// Returns the evacuated zones in each update that a control VM sent on a link.
fn sent_zones(simulation: &Simulation, link: u64) -> Vec<Option<Vec<String>>> {
    let messages = simulation.entry_messages.iter();
    let updates = messages.filter_map(|(_, to, message)| match message {
        ControlMessage::Update(update) if *to == link => Some(update),
        _ => None,
    });
    updates
        .map(|update| {
            let zones = update.evacuated_zones.as_ref()?;
            Some(zones.iter().cloned().collect())
        })
        .collect()
}

/// Guards against updates that are taken for empty because only the evacuated zones changed, and
/// against entry VMs that start later and don't learn of them.
#[gtest]
fn entry_vms_are_told_of_each_change_and_at_their_start() {
    let mut simulation = site_with_servers([0, 0, 0]);
    let leader = simulation.await_leader();
    let connect = |simulation: &mut Simulation, link| {
        let connected = SiteEvent::EntryConnected {
            link,
            vm: format!("entry-{link}"),
            zone: "north".into(),
            known: DirectoryPosition::default(),
            relay_address: None,
            cpu_share: None,
        };
        simulation.handle_event(&leader, connected);
        simulation.run(Duration::from_millis(100));
    };
    simulation.call_and_wait(&leader, announcement(1, "north"));
    connect(&mut simulation, 1);
    order(&mut simulation, &leader, begin("north"));
    simulation.run(Duration::from_millis(100));
    connect(&mut simulation, 2);
    let last = sent_zones(&simulation, 1).pop();
    expect_that!(last, some(some(elements_are![eq("north")])));
    let first = sent_zones(&simulation, 2);
    expect_that!(first, elements_are![some(elements_are![eq("north")])]);
    simulation.call_and_wait(&leader, announcement(2, "south"));
    simulation.run(Duration::from_millis(100));
    let without_change = sent_zones(&simulation, 1).pop();
    expect_that!(without_change, some(none()));
    order(&mut simulation, &leader, finish("north"));
    simulation.run(Duration::from_millis(100));
    let last = sent_zones(&simulation, 1).pop();
    expect_that!(last, some(some(eq(&Vec::<String>::new()))));
}
