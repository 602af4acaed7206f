//! Control processes of three zones together: group formation, edits, network cuts and restarts.

mod support;

use std::time::Duration;

use chicory_control::{Caller, ControlCall, ControlReply, OperatorCall};
use chicory_ownership::{ClaimAnswer, ClaimRequest, Claimant, SlotOwner, ViewChange};
use chicory_table::EditOutcome;
use chicory_types::slot_of_key;
use googletest::prelude::*;
use support::{Fleet, entry, server};

const FORMATION_LIMIT: Duration = Duration::from_secs(10);
/// Time within which an accepted edit has to be in force.
const IN_FORCE_LIMIT: Duration = Duration::from_secs(18);

fn formed_fleet(has_disks: bool) -> Fleet {
    let mut fleet = Fleet::with_disks(has_disks);
    let has_formed = fleet.run_until(FORMATION_LIMIT, |fleet| {
        fleet.have_all_leaders() && fleet.are_all_ready()
    });
    assert!(
        has_formed,
        "the groups did not form and become ready in time"
    );
    fleet
}

fn diskless_fleet_with_table() -> Fleet {
    fleet_with_table(false)
}

fn fleet_with_table(has_disks: bool) -> Fleet {
    let mut fleet = formed_fleet(has_disks);
    fleet.run(Duration::from_secs(4));
    assert_eq!(
        fleet.put_service("e1", 0, "archive"),
        EditOutcome::Accepted { revision: 1 }
    );
    fleet.run(Duration::from_secs(5));
    fleet
}

/// Returns the number of slots that the view assigns to a server.
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

/// Announces a server and renews until the view assigns slots to it. Returns their number, or 0 if
/// it has none after 20 renewals.
fn announce_until_owned(fleet: &mut Fleet, zone: &str, vm: &str, name: &str) -> usize {
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
fn diskless_zone_groups_form_when_the_global_group_decides() {
    let fleet = formed_fleet(false);
    expect_true!(fleet.have_all_leaders());
}

#[gtest]
fn an_edit_comes_into_force_in_every_zone_and_custody_is_spread() {
    let mut fleet = diskless_fleet_with_table();
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
    let mut fleet = diskless_fleet_with_table();
    expect_that!(
        fleet.put_service("e2", 1, "bundles"),
        eq(&EditOutcome::Accepted { revision: 2 })
    );
    expect_that!(
        fleet.put_service("e3", 1, "orders"),
        eq(&EditOutcome::Conflict {
            current_revision: 2
        })
    );
    expect_that!(
        fleet.put_service("e2", 1, "bundles"),
        eq(&EditOutcome::Accepted { revision: 2 })
    );
}

#[gtest]
fn an_acknowledged_edit_survives_the_loss_of_the_global_leader() {
    let mut fleet = diskless_fleet_with_table();
    let leader = fleet.global_leader().unwrap();
    fleet.set_vm_cut(&leader, true);
    let has_new_global_leader =
        |fleet: &Fleet| fleet.global_leader().is_some_and(|vm| vm != leader);
    expect_true!(fleet.run_until(Duration::from_secs(5), has_new_global_leader));
    expect_that!(
        fleet.put_service("e2", 1, "bundles"),
        eq(&EditOutcome::Accepted { revision: 2 })
    );
    fleet.set_vm_cut(&leader, false);
    fleet.run(Duration::from_secs(3));
    expect_that!(
        fleet.put_service("e3", 1, "late"),
        eq(&EditOutcome::Conflict {
            current_revision: 2
        })
    );
}

#[gtest]
fn servers_get_the_slots_in_the_zones_custody() {
    let mut fleet = diskless_fleet_with_table();
    let slots = announce_until_owned(&mut fleet, "north", "entry-1", "archive-1");
    expect_that!(slots, all![ge(5_000), le(6_000)]);
}

#[gtest]
fn a_zone_cut_off_from_the_others_still_grants_leases_and_replaces_its_leader() {
    let mut fleet = diskless_fleet_with_table();
    announce_until_owned(&mut fleet, "north", "entry-1", "archive-1");
    fleet.set_zone_cut("north", true);
    fleet.run(Duration::from_secs(10));
    let leader = fleet.zone_leader("north").unwrap();
    let has_new_leader = |fleet: &Fleet| fleet.zone_leader("north").is_some_and(|vm| vm != leader);
    fleet.set_paused(&leader, true);
    fleet.run(Duration::from_secs(3));
    fleet.set_paused(&leader, false);
    expect_true!(fleet.run_until(Duration::from_secs(3), has_new_leader));
    fleet.run(Duration::from_secs(3));
    let renewed = fleet.renew("north", &entry("entry-1"), 0, Vec::new());
    expect_that!(renewed.unwrap().0, gt(Duration::ZERO));
}

#[gtest]
fn a_member_without_state_is_admitted_while_its_zone_is_cut_off() {
    let mut fleet = diskless_fleet_with_table();
    fleet.set_zone_cut("north", true);
    fleet.run(Duration::from_secs(2));
    fleet.kill("north-3");
    fleet.start("north-3");
    expect_true!(fleet.run_until(FORMATION_LIMIT, Fleet::are_all_ready));
}

#[gtest]
fn a_second_member_may_be_lost_right_after_a_repair() {
    let mut fleet = diskless_fleet_with_table();
    let others: Vec<_> = fleet.vms_of("north").split_off(1);
    for vm in others {
        fleet.kill(&vm);
        fleet.start(&vm);
        expect_true!(fleet.run_until(FORMATION_LIMIT, Fleet::are_all_ready));
        // Until the new member has replaced the former one, another loss would cost the quorum.
        fleet.run(Duration::from_secs(3));
    }
    let record = entry("entry-1");
    expect_true!(fleet.renew("north", &record, 0, Vec::new()).is_some());
}

#[gtest]
fn a_zone_whose_majority_lost_its_state_forms_a_new_group() {
    let mut fleet = diskless_fleet_with_table();
    announce_until_owned(&mut fleet, "south", "entry-9", "archive-9");
    let restarted: Vec<_> = fleet.vms_of("south").split_off(1);
    for vm in &restarted {
        fleet.kill(vm);
    }
    for vm in &restarted {
        fleet.start(vm);
    }
    let has_leader = |fleet: &Fleet| fleet.zone_leader("south").is_some() && fleet.are_all_ready();
    fleet.run(Duration::from_secs(5));
    expect_true!(fleet.run_until(Duration::from_secs(30), has_leader));
    fleet.run(Duration::from_secs(5));
    expect_that!(
        announce_until_owned(&mut fleet, "south", "entry-9", "archive-9"),
        gt(0)
    );
}

#[gtest]
fn a_zone_cut_off_from_the_global_group_forms_no_new_group() {
    let mut fleet = diskless_fleet_with_table();
    fleet.set_zone_cut("south", true);
    for vm in fleet.vms_of("south").split_off(1) {
        fleet.kill(&vm);
        fleet.start(&vm);
    }
    fleet.run(Duration::from_secs(20));
    expect_true!(fleet.zone_leader("south").is_none());
}

#[gtest]
fn an_entry_process_may_not_make_operator_calls() {
    let mut fleet = diskless_fleet_with_table();
    let leader = fleet.zone_leader("north").unwrap();
    let operator_call = ControlCall::Operator(OperatorCall::GetTable);
    let reply = fleet.call_as(&leader, Caller::Entry("entry-1".into()), operator_call);
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
    match fleet.call_as(&leader, from, ControlCall::Claim(request)) {
        Some(ControlReply::Claim(answer)) => answer,
        other => panic!("the claim was not answered: {other:?}"),
    }
}

/// Returns an order key whose slot is in the custody of a zone.
fn order_key_of(fleet: &mut Fleet, zone: &str) -> String {
    let record = entry("entry-9");
    let (_, update) = fleet.renew(zone, &record, 0, Vec::new()).unwrap();
    let is_in_custody = |key: &String| {
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
        .find(is_in_custody)
        .unwrap()
}

#[gtest]
fn a_zone_with_disks_keeps_its_claims_when_most_of_its_members_restart() {
    let mut fleet = fleet_with_table(true);
    expect_that!(
        fleet.put_order_service("e2", 1),
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
fn a_zone_without_disks_refuses_orders_whose_claims_may_be_lost() {
    let mut fleet = fleet_with_table(false);
    fleet.put_order_service("e2", 1);
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
