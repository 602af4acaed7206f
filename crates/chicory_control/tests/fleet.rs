//! Control processes of three zones together: formation, edits, cuts and restarts.

mod support;

use std::time::Duration;

use chicory_control::{Caller, ControlCall, ControlReply, OperatorCall};
use chicory_ownership::{ClaimAnswer, ClaimRequest, Claimant, SlotOwner, ViewChange};
use chicory_table::EditOutcome;
use chicory_types::slot_of_key;
use googletest::prelude::*;
use support::{Fleet, entry, server};

const FORMATION_LIMIT: Duration = Duration::from_secs(10);
/// The target for an accepted edit.
const IN_FORCE_LIMIT: Duration = Duration::from_secs(18);

fn formed(has_disks: bool) -> Fleet {
    let mut fleet = Fleet::with_disks(has_disks);
    let has_formed = fleet.run_until(FORMATION_LIMIT, |fleet| {
        fleet.have_all_leaders() && fleet.are_all_ready()
    });
    assert!(has_formed, "the groups did not form");
    fleet
}

fn with_table() -> Fleet {
    with_table_on(false)
}

fn with_table_on(has_disks: bool) -> Fleet {
    let mut fleet = formed(has_disks);
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
    let fleet = formed(false);
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

fn claim(fleet: &mut Fleet, zone: &str, attempt: u64) -> ClaimAnswer {
    let leader = fleet.zone_leader(zone).unwrap();
    let request = ClaimRequest {
        service: "orders".to_owned(),
        order_key: order_key_of(fleet, zone),
        fingerprint: 1,
        claimant: Claimant {
            vm: "entry-9".to_owned(),
            incarnation: 1,
            attempt,
        },
    };
    let from = Caller::Entry("entry-9".to_owned());
    match fleet.ask(&leader, from, ControlCall::Claim(request)) {
        Some(ControlReply::Claim(answer)) => answer,
        other => panic!("no answer: {other:?}"),
    }
}

/// An order key whose slot is in the custody of a zone.
fn order_key_of(fleet: &mut Fleet, zone: &str) -> String {
    let record = entry("entry-9");
    let (_, update) = fleet.renew(zone, &record, 0, Vec::new()).unwrap();
    let is_own = |key: &String| {
        update.changes.iter().any(|change| match change {
            ViewChange::CustodyAssigned {
                service,
                runs,
                zone: custodian,
                ..
            } => {
                let slot = slot_of_key(key);
                service == "orders" && custodian == zone && runs.iter().any(|r| r.contains(slot))
            }
            _ => false,
        })
    };
    (0..1_000)
        .map(|n| format!("order-{n}"))
        .find(is_own)
        .unwrap()
}

#[gtest]
fn a_zone_with_disks_forgets_no_claim_when_most_of_its_members_restart() {
    let mut fleet = with_table_on(true);
    expect_that!(
        fleet.edit_orders("e2", 1),
        eq(&EditOutcome::Accepted { revision: 2 })
    );
    fleet.run(Duration::from_secs(6));
    expect_that!(claim(&mut fleet, "south", 1), eq(&ClaimAnswer::Granted));
    for vm in fleet.vms_of("south").split_off(1) {
        fleet.kill(&vm);
        fleet.start(&vm);
    }
    let has_leader = |fleet: &Fleet| fleet.zone_leader("south").is_some() && fleet.are_all_ready();
    expect_true!(fleet.run_until(Duration::from_secs(2), has_leader));
    fleet.run(Duration::from_secs(1));
    let resent = claim(&mut fleet, "south", 2);
    expect_that!(
        resent,
        any![eq(&ClaimAnswer::InProgress), eq(&ClaimAnswer::Unknown)]
    );
}

#[gtest]
fn a_zone_without_disks_refuses_orders_that_it_may_have_forgotten() {
    let mut fleet = with_table_on(false);
    fleet.edit_orders("e2", 1);
    fleet.run(Duration::from_secs(6));
    expect_that!(claim(&mut fleet, "south", 1), eq(&ClaimAnswer::Granted));
    for vm in fleet.vms_of("south").split_off(1) {
        fleet.kill(&vm);
        fleet.start(&vm);
    }
    let has_leader = |fleet: &Fleet| fleet.zone_leader("south").is_some() && fleet.are_all_ready();
    fleet.run(Duration::from_secs(5));
    expect_true!(fleet.run_until(Duration::from_secs(30), has_leader));
    fleet.run(Duration::from_secs(6));
    expect_that!(claim(&mut fleet, "south", 2), eq(&ClaimAnswer::HistoryLost));
}
