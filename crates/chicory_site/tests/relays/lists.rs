//! Which entry VMs are named, while some of them can't relay.

use std::collections::{BTreeMap, BTreeSet};

use googletest::prelude::*;
use rand::SeedableRng;
use rand::rngs::StdRng;
use rand::seq::SliceRandom;

use crate::fleet::Fleet;

/// Numbers of entry VMs and of availability zones.
const SITES: [(usize, usize); 2] = [(10, 3), (77, 4)];
/// Most relay peers of one entry VM.
const MAX_RELAYS: usize = 8;
/// Greatest multiple of the even share of entry VMs for which one is the first choice.
const MAX_SHARES: usize = 2;
/// Number of random choices of the entry VMs that can't relay.
const RANDOM_CHOICES: u64 = 20;

/// Returns the entry VMs that can't relay in each scenario.
fn scenarios(vm_count: usize, zone_count: usize) -> Vec<(String, BTreeSet<usize>)> {
    let mut scenarios = vec![
        ("none".into(), BTreeSet::new()),
        ("one".into(), BTreeSet::from([3])),
        ("a third".into(), (0..vm_count / 3).collect()),
        ("all but one".into(), (1..vm_count).collect()),
    ];
    for zone in 0..zone_count {
        let unable = (0..vm_count).filter(|index| index % zone_count == zone);
        scenarios.push((format!("zone {zone}"), unable.collect()));
    }
    for seed in 1..=RANDOM_CHOICES {
        let mut vms: Vec<usize> = (0..vm_count).collect();
        vms.shuffle(&mut StdRng::seed_from_u64(seed));
        for (name, count) in [("third", vm_count / 3), ("half", vm_count / 2)] {
            let unable = vms.iter().take(count).copied().collect();
            scenarios.push((format!("random {name}, seed {seed}"), unable));
        }
    }
    scenarios
}

#[gtest]
fn each_entry_vm_is_named_others_that_can_relay() {
    for (vm_count, zone_count) in SITES {
        for (scenario, unable) in scenarios(vm_count, zone_count) {
            let fleet = Fleet::with_unable(vm_count, zone_count, &unable);
            for index in 0..vm_count {
                let mut able = (0..vm_count).filter(|other| !unable.contains(other));
                let has_of_other_zone = able
                    .clone()
                    .any(|other| fleet.zone(other) != fleet.zone(index));
                let relays = fleet.relays_of(index);
                let distinct: BTreeSet<usize> = relays.iter().copied().collect();
                let context = format!("{scenario}, {vm_count} VMs, {index}: {relays:?}");
                let expected = able.clone().filter(|other| *other != index).count();
                expect_that!(relays.len(), eq(expected.min(MAX_RELAYS)), "{context}");
                expect_that!(distinct.len(), eq(relays.len()), "{context}");
                expect_that!(distinct, not(contains(eq(&index))), "{context}");
                expect_that!(distinct.is_disjoint(&unable), eq(true), "{context}");
                let names_other_zone = relays
                    .iter()
                    .any(|other| fleet.zone(*other) != fleet.zone(index));
                let has_able = able.any(|other| other != index);
                expect_that!(
                    names_other_zone,
                    eq(has_of_other_zone && has_able),
                    "{context}"
                );
            }
        }
    }
}

/// The first one may be of another zone, if enough others prefer those of the own zone already.
#[gtest]
fn relay_peers_of_the_own_zone_come_first() {
    for (vm_count, zone_count) in SITES {
        for (scenario, unable) in scenarios(vm_count, zone_count) {
            let fleet = Fleet::with_unable(vm_count, zone_count, &unable);
            for index in 0..vm_count {
                let relays = fleet.relays_of(index);
                let further = relays.iter().skip(1);
                let is_of_other_zone = further.map(|other| fleet.zone(*other) != fleet.zone(index));
                let context = format!("{scenario}, {vm_count} VMs, {index}: {relays:?}");
                expect_that!(is_of_other_zone.is_sorted(), eq(true), "{context}");
            }
        }
    }
}

#[gtest]
fn relay_peers_carry_the_address_and_the_zone_that_the_entry_vm_named() {
    let fleet = Fleet::new(10, 3);
    for peer in fleet.lists.values().flatten() {
        let index: usize = peer.vm["entry-".len()..].parse().expect("an index");
        expect_that!(peer.address, eq(Fleet::address(index)));
        expect_that!(peer.zone, eq(&fleet.zone(index)));
    }
}

/// Returns how many of these entry VMs have each one as their first choice.
fn first_choices(fleet: &Fleet, vms: impl Iterator<Item = usize>) -> BTreeMap<usize, usize> {
    let mut counts = BTreeMap::new();
    for index in vms {
        if let Some(first) = fleet.relays_of(index).first() {
            *counts.entry(*first).or_default() += 1;
        }
    }
    counts
}

#[gtest]
fn entry_vms_that_cannot_relay_prefer_different_ones() {
    for (vm_count, zone_count) in SITES {
        for (scenario, unable) in scenarios(vm_count, zone_count) {
            let fleet = Fleet::with_unable(vm_count, zone_count, &unable);
            let able_count = vm_count - unable.len();
            let counts = first_choices(&fleet, unable.iter().copied());
            let bound = (unable.len() * MAX_SHARES).div_ceil(able_count);
            expect_that!(counts.values().sum::<usize>(), eq(unable.len()));
            expect_that!(
                counts.values().copied().max().unwrap_or(0),
                le(bound),
                "{scenario}, {vm_count} VMs"
            );
        }
    }
}

/// An entry VM that is cut off uses what it was sent before, until control VMs hear of the cut.
#[gtest]
fn entry_vms_that_can_relay_prefer_different_ones() {
    for (vm_count, zone_count) in SITES {
        let fleet = Fleet::new(vm_count, zone_count);
        let counts = first_choices(&fleet, 0..vm_count);
        expect_that!(counts.values().copied().max(), some(le(MAX_SHARES)));
    }
}

/// One of those in other zones may fail while the zone is cut off.
#[gtest]
fn zone_that_is_cut_off_has_two_peers_in_other_zones_from_before() {
    for (vm_count, zone_count) in SITES {
        let fleet = Fleet::new(vm_count, zone_count);
        for index in 0..vm_count {
            let relays = fleet.relays_of(index).into_iter();
            let in_other_zones = relays.filter(|other| fleet.zone(*other) != fleet.zone(index));
            expect_that!(in_other_zones.count(), ge(2), "{vm_count} VMs, {index}");
        }
    }
}
