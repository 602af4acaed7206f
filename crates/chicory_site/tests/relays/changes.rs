//! When relay peers are sent.

use std::collections::BTreeSet;
use std::time::Duration;

use chicory_directory::{EntryReport, PermitRequest, ReportedLimit};
use chicory_ranges::ServerIncarnation;
use chicory_site::{EntryLinkId, SiteNote};
use googletest::prelude::*;

use crate::fleet::{Fleet, REPORT_INTERVAL};

/// Number of relay peers of an entry VM, and so the mean number of lists that name one.
const RELAYS: usize = 8;

/// Returns how many entry VMs have other relay peers than before, on average over the changes of
/// each single entry VM.
fn mean_changed_lists(vm_count: usize, zone_count: usize, unable: &BTreeSet<usize>) -> f64 {
    let mut fleet = Fleet::with_unable(vm_count, zone_count, unable);
    let before = fleet.all_relays();
    let mut changed_count: u32 = 0;
    for index in 0..vm_count {
        let can_relay = !unable.contains(&index);
        fleet.report(index, !can_relay);
        let after = fleet.all_relays();
        let changed = before.iter().zip(&after).filter(|(old, new)| old != new);
        changed_count += u32::try_from(changed.count()).expect("a few");
        fleet.report(index, can_relay);
    }
    f64::from(changed_count) / f64::from(u32::try_from(vm_count).expect("a few"))
}

#[gtest]
fn change_of_one_entry_vm_changes_few_lists() {
    // The lists that name the entry VM, and as many that make room for their replacements.
    let target = f64::from(2 * u32::try_from(RELAYS).expect("a few"));
    for (vm_count, zone_count) in [(10, 3), (77, 4)] {
        let mean = mean_changed_lists(vm_count, zone_count, &BTreeSet::new());
        expect_that!(mean, le(target), "{vm_count} VMs");
    }
    // Fewer entry VMs are named in as many lists.
    let quarter = 77.0 / 4.0;
    for unable in [
        BTreeSet::from([3]),
        (0..25).collect(),
        (0..77).filter(|index| index % 4 == 0).collect(),
    ] {
        let mean = mean_changed_lists(77, 4, &unable);
        expect_that!(mean, le(quarter), "{unable:?}");
    }
}

#[gtest]
fn lists_depend_only_on_who_can_relay_now() {
    let unable = BTreeSet::from([1, 4, 6]);
    let fleet = Fleet::with_unable(10, 3, &unable);
    let mut other = Fleet::empty(3);
    for index in (0..10).rev() {
        other.connect(index);
        other.report(index, index % 2 == 0);
    }
    for index in 0..10 {
        other.report(index, !unable.contains(&index));
    }
    expect_that!(other.all_relays(), eq(&fleet.all_relays()));
}

#[gtest]
fn nothing_is_sent_while_nothing_changes() {
    let unable = (0..25).collect();
    let mut fleet = Fleet::with_unable(77, 4, &unable);
    fleet.sent.clear();
    fleet.notes.clear();
    for _ in 0..30 {
        fleet.wait(REPORT_INTERVAL);
        for index in 0..77 {
            fleet.report(index, !unable.contains(&index));
        }
    }
    expect_that!(fleet.sent, is_empty());
    expect_that!(fleet.notes, is_empty());
}

#[gtest]
fn only_entry_vms_whose_list_differs_are_sent_it() {
    let mut fleet = Fleet::new(77, 4);
    let before = fleet.all_relays();
    fleet.sent.clear();
    fleet.report(9, false);
    let after = fleet.all_relays();
    let changed = (0..77).filter(|index| before[*index] != after[*index]);
    let changed: Vec<EntryLinkId> = changed.map(|index| index as EntryLinkId).collect();
    expect_that!(fleet.sent, eq(&changed));
}

#[gtest]
fn entry_vm_of_an_earlier_release_is_neither_named_nor_sent_anything() {
    let mut fleet = Fleet::new(5, 2);
    fleet.connect_as(50, 50, None);
    fleet.sent.clear();
    for can_relay in [true, false, true] {
        let report = EntryReport {
            can_relay,
            ..EntryReport::default()
        };
        fleet.send(50, report);
        fleet.report(2, !can_relay);
    }
    expect_that!(fleet.sent, not(contains(eq(&50))));
    let named = fleet.lists.values().flatten().map(|peer| peer.vm.clone());
    let named: BTreeSet<String> = named.collect();
    expect_that!(named, not(contains(eq("entry-50"))));
}

#[gtest]
fn entry_vm_is_not_named_before_its_first_report() {
    let mut fleet = Fleet::new(4, 2);
    fleet.connect(4);
    let names = |fleet: &Fleet| fleet.all_relays().concat().contains(&4);
    expect_that!(names(&fleet), eq(false));
    expect_that!(fleet.relays_of(4), len(eq(4)));
    fleet.report(4, true);
    expect_that!(names(&fleet), eq(true));
}

/// Reports about limits are sent at once and may be about nothing else.
#[gtest]
fn report_about_limits_does_not_change_who_can_relay() {
    let incarnation = ServerIncarnation::new("server-1", 1);
    let limits = EntryReport {
        limits: vec![ReportedLimit {
            incarnation: incarnation.clone(),
            rate_per_s: Some(5.0),
            sent_age: Duration::ZERO,
            received_age: Duration::ZERO,
        }],
        ..EntryReport::default()
    };
    let permits = EntryReport {
        permits: vec![PermitRequest {
            incarnation,
            rank: 0,
            count: 1,
            rate_per_s: 5.0,
        }],
        ..EntryReport::default()
    };
    let mut fleet = Fleet::with_unable(10, 3, &BTreeSet::from([2]));
    let before = fleet.all_relays();
    fleet.sent.clear();
    for report in [limits, permits] {
        for (link, can_relay) in [(1, false), (2, true)] {
            let report = EntryReport {
                can_relay,
                ..report.clone()
            };
            fleet.send(link, report);
        }
    }
    expect_that!(fleet.sent, is_empty());
    expect_that!(fleet.all_relays(), eq(&before));
}

#[gtest]
fn entry_vm_that_disconnects_is_named_no_longer() {
    let mut fleet = Fleet::new(3, 3);
    fleet.disconnect(1);
    expect_that!(fleet.relays_of(0), eq(&vec![2]));
    fleet.disconnect(2);
    expect_that!(fleet.lists[&0], is_empty());
}

#[gtest]
fn entry_vm_with_two_links_is_named_by_its_latest_one() {
    let mut fleet = Fleet::new(3, 3);
    let address = Fleet::address(200);
    fleet.connect_as(100, 1, Some(address));
    expect_that!(fleet.relays_of(0), eq(&vec![2]));
    let report = EntryReport {
        can_relay: true,
        ..EntryReport::default()
    };
    fleet.send(100, report);
    expect_that!(fleet.lists[&100], len(eq(2)));
    expect_that!(fleet.lists[&1], is_empty());
    fleet.disconnect(1);
    let mut named = fleet.lists[&0].iter().filter(|peer| peer.vm == "entry-1");
    expect_that!(named.next().map(|peer| peer.address), some(eq(address)));
    expect_that!(named.next(), none());
    expect_that!(fleet.lists[&100], len(eq(2)));
}

#[gtest]
fn link_that_is_busy_is_sent_only_the_latest_list() {
    let mut fleet = Fleet::new(6, 2);
    let first = fleet.relays_of(0)[0];
    fleet.block(0);
    // The answer to a report makes the link busy.
    fleet.report(0, true);
    fleet.sent.clear();
    fleet.report(first, false);
    expect_that!(fleet.sent, not(contains(eq(&0))));
    fleet.disconnect(5);
    fleet.unblock(0);
    let sent = fleet.sent.iter().filter(|link| **link == 0);
    expect_that!(sent.count(), eq(1));
    expect_that!(fleet.relays_of(0), not(contains(eq(&first))));
    expect_that!(fleet.relays_of(0), not(contains(eq(&5))));
}

#[gtest]
fn link_that_is_busy_during_a_passing_change_is_sent_nothing() {
    let mut fleet = Fleet::new(6, 2);
    let first = fleet.relays_of(0)[0];
    fleet.block(0);
    fleet.report(0, true);
    fleet.sent.clear();
    fleet.report(first, false);
    fleet.report(first, true);
    fleet.unblock(0);
    expect_that!(fleet.sent, not(contains(eq(&0))));
}

#[gtest]
fn changes_of_who_can_relay_are_noted_at_a_limited_rate() {
    let mut fleet = Fleet::new(10, 3);
    let notes = |fleet: &Fleet| {
        let notes = fleet.notes.iter().filter_map(|note| match note {
            SiteNote::RelayAbilityChanged {
                vm,
                can_relay,
                suppressed,
            } => Some((vm.clone(), *can_relay, *suppressed)),
            _ => None,
        });
        notes.collect::<Vec<_>>()
    };
    expect_that!(notes(&fleet), is_empty());
    fleet.report(3, false);
    fleet.report(3, false);
    fleet.report(3, true);
    let expected = vec![("entry-3".into(), false, 0), ("entry-3".into(), true, 0)];
    expect_that!(notes(&fleet), eq(&expected));
    fleet.wait(Duration::from_secs(2));
    fleet.notes.clear();
    for _ in 0..50 {
        fleet.report(4, false);
        fleet.report(4, true);
    }
    expect_that!(notes(&fleet), len(eq(40)));
    fleet.wait(Duration::from_secs(2));
    fleet.report(5, false);
    expect_that!(
        notes(&fleet).last(),
        some(eq(&("entry-5".into(), false, 60)))
    );
}
