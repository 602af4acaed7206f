//! Control processes of three zones together: formation, edits, cuts and restarts.

mod support;

use std::time::Duration;

use chicory_control::{Caller, ControlCall, ControlReply, OperatorCall};
use chicory_ownership::{SlotOwner, ViewChange};
use chicory_table::EditOutcome;
use googletest::prelude::*;
use support::{Fleet, entry, server};

const FORMATION_LIMIT: Duration = Duration::from_secs(10);
/// The target for an accepted edit.
const IN_FORCE_LIMIT: Duration = Duration::from_secs(18);

fn formed() -> Fleet {
    let mut fleet = Fleet::new();
    let has_formed = fleet.run_until(FORMATION_LIMIT, |fleet| {
        fleet.have_all_leaders() && fleet.are_all_ready()
    });
    assert!(has_formed, "the groups did not form");
    fleet
}

fn with_table() -> Fleet {
    let mut fleet = formed();
    fleet.run(Duration::from_secs(4));
    assert_eq!(
        fleet.edit("e1", 0, "archive"),
        EditOutcome::Accepted { revision: 1 }
    );
    fleet.run(Duration::from_secs(5));
    fleet
}

/// Slots that the view gives to a server.
fn owned_slots(changes: &[ViewChange], name: &str) -> usize {
    let mut count = 0;
    for change in changes {
        if let ViewChange::SlotsAssigned {
            runs,
            owner: SlotOwner::Owned { server, .. },
            ..
        } = change
            && server == name
        {
            count += runs.iter().map(|run| run.slots().count()).sum::<usize>();
        }
    }
    count
}

/// Renews until the view gives slots to the server.
fn serve(fleet: &mut Fleet, zone: &str, vm: &str, name: &str) -> usize {
    let record = entry(vm);
    for _ in 0..20 {
        fleet.renew(zone, &record, 0, vec![server(name, zone)]);
        fleet.run(Duration::from_millis(200));
        let renewed = fleet.renew(zone, &record, 0, Vec::new());
        let slots = renewed.map_or(0, |(_, update)| owned_slots(&update.changes, name));
        if slots > 0 {
            return slots;
        }
    }
    0
}

#[gtest]
fn diskless_zone_groups_form_by_the_word_of_the_global_group() {
    let fleet = formed();
    expect_true!(fleet.have_all_leaders());
}

#[gtest]
fn an_edit_comes_into_force_in_every_zone_and_custody_is_spread() {
    let mut fleet = with_table();
    fleet.run(IN_FORCE_LIMIT);
    let status = fleet.status();
    expect_that!(status.len(), eq(3));
    for (revision, slots) in status.values() {
        expect_that!(*revision, eq(1));
        expect_that!(*slots, all![ge(5_000), le(6_000)]);
    }
}

#[gtest]
fn one_of_two_racing_edits_wins_and_a_resend_gets_the_same_answer() {
    let mut fleet = with_table();
    expect_that!(
        fleet.edit("e2", 1, "bundles"),
        eq(&EditOutcome::Accepted { revision: 2 })
    );
    expect_that!(
        fleet.edit("e3", 1, "orders"),
        eq(&EditOutcome::Conflict {
            current_revision: 2
        })
    );
    expect_that!(
        fleet.edit("e2", 1, "bundles"),
        eq(&EditOutcome::Accepted { revision: 2 })
    );
}

#[gtest]
fn an_acknowledged_edit_survives_the_loss_of_the_global_leader() {
    let mut fleet = with_table();
    let leader = fleet.global_leader().unwrap();
    fleet.set_vm_cut(&leader, true);
    let others = |fleet: &Fleet| fleet.global_leader().is_some_and(|vm| vm != leader);
    expect_true!(fleet.run_until(Duration::from_secs(5), others));
    expect_that!(
        fleet.edit("e2", 1, "bundles"),
        eq(&EditOutcome::Accepted { revision: 2 })
    );
    fleet.set_vm_cut(&leader, false);
    fleet.run(Duration::from_secs(3));
    expect_that!(
        fleet.edit("e3", 1, "late"),
        eq(&EditOutcome::Conflict {
            current_revision: 2
        })
    );
}

#[gtest]
fn servers_get_the_slots_in_the_zones_custody() {
    let mut fleet = with_table();
    let slots = serve(&mut fleet, "north", "entry-1", "archive-1");
    expect_that!(slots, all![ge(5_000), le(6_000)]);
}

#[gtest]
fn a_cut_zone_goes_on_leasing_and_repairs_itself() {
    let mut fleet = with_table();
    serve(&mut fleet, "north", "entry-1", "archive-1");
    fleet.set_zone_cut("north", true);
    fleet.run(Duration::from_secs(10));
    let leader = fleet.zone_leader("north").unwrap();
    let survivors = |fleet: &Fleet| fleet.zone_leader("north").is_some_and(|vm| vm != leader);
    fleet.set_paused(&leader, true);
    fleet.run(Duration::from_secs(3));
    fleet.set_paused(&leader, false);
    expect_true!(fleet.run_until(Duration::from_secs(3), survivors));
    fleet.run(Duration::from_secs(3));
    let renewed = fleet.renew("north", &entry("entry-1"), 0, Vec::new());
    expect_that!(renewed.unwrap().0, gt(Duration::ZERO));
}

#[gtest]
fn a_member_without_memory_is_admitted_while_its_zone_is_cut_off() {
    let mut fleet = with_table();
    fleet.set_zone_cut("north", true);
    fleet.run(Duration::from_secs(2));
    fleet.kill("north-3");
    fleet.start("north-3");
    expect_true!(fleet.run_until(FORMATION_LIMIT, Fleet::are_all_ready));
}

#[gtest]
fn a_second_member_may_be_lost_right_after_a_repair() {
    let mut fleet = with_table();
    let others: Vec<_> = fleet.vms_of("north").split_off(1);
    for vm in others {
        fleet.kill(&vm);
        fleet.start(&vm);
        expect_true!(fleet.run_until(FORMATION_LIMIT, Fleet::are_all_ready));
        // Until the new member has taken the former one's place, another loss is one too many.
        fleet.run(Duration::from_secs(3));
    }
    let record = entry("entry-1");
    expect_true!(fleet.renew("north", &record, 0, Vec::new()).is_some());
}

#[gtest]
fn a_zone_whose_members_all_lost_their_memory_is_formed_anew() {
    let mut fleet = with_table();
    serve(&mut fleet, "south", "entry-9", "archive-9");
    let diskless: Vec<_> = fleet.vms_of("south").split_off(1);
    for vm in &diskless {
        fleet.kill(vm);
    }
    for vm in &diskless {
        fleet.start(vm);
    }
    let has_leader = |fleet: &Fleet| fleet.zone_leader("south").is_some() && fleet.are_all_ready();
    fleet.run(Duration::from_secs(5));
    expect_true!(fleet.run_until(Duration::from_secs(30), has_leader));
    fleet.run(Duration::from_secs(5));
    expect_that!(serve(&mut fleet, "south", "entry-9", "archive-9"), gt(0));
}

#[gtest]
fn a_zone_without_contact_does_not_form_anew_on_its_own() {
    let mut fleet = with_table();
    fleet.set_zone_cut("south", true);
    for vm in fleet.vms_of("south").split_off(1) {
        fleet.kill(&vm);
        fleet.start(&vm);
    }
    fleet.run(Duration::from_secs(20));
    expect_true!(fleet.zone_leader("south").is_none());
}

#[gtest]
fn callers_may_speak_only_for_themselves() {
    let mut fleet = with_table();
    let leader = fleet.zone_leader("north").unwrap();
    let operator_call = ControlCall::Operator(OperatorCall::GetTable);
    let reply = fleet.ask(&leader, Caller::Entry("entry-1".into()), operator_call);
    expect_that!(reply, some(eq(&ControlReply::NotAllowed)));
}
