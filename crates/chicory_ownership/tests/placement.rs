//! Tests that placement policies place every slot, balance load, separate hot slots and move few
//! slots.

mod common;

use std::collections::BTreeSet;
use std::time::Duration;

use chicory_ownership::*;
use googletest::prelude::*;

const KINDS: [PlacementKind; 3] = [
    PlacementKind::Rendezvous,
    PlacementKind::Greedy,
    PlacementKind::MinMax,
];

struct Service {
    servers: Vec<PlacementServer>,
    places: Vec<SlotPlace>,
    loads: Vec<f32>,
    now: Duration,
}

impl Service {
    fn new(servers: u64, slots: usize) -> Self {
        let server = |name_hash| PlacementServer {
            name_hash,
            weight: 100.0,
            warmup_factor: 1.0,
        };
        Self {
            servers: (0..servers).map(server).collect(),
            places: vec![SlotPlace::Free; slots],
            loads: vec![1.0; slots],
            now: Duration::from_secs(1),
        }
    }

    fn input(&self) -> PlacementInput<'_> {
        PlacementInput {
            now: self.now,
            servers: &self.servers,
            places: &self.places,
            loads: &self.loads,
        }
    }

    fn place(&mut self, policy: &mut dyn PlacementPolicy) {
        for assignment in policy.place(&self.input()).assign {
            self.places[usize::from(assignment.slot)] = SlotPlace::Owned(assignment.server);
        }
    }

    /// Rebalances, places the released slots and returns their number.
    fn rebalance(&mut self, policy: &mut dyn PlacementPolicy) -> usize {
        self.now += REBALANCE_INTERVAL;
        let release = policy.rebalance(&self.input()).release;
        for slot in &release {
            self.places[usize::from(*slot)] = SlotPlace::Free;
        }
        self.place(policy);
        release.len()
    }

    /// Returns the ratio of the greatest load per weight to the mean.
    fn imbalance(&self) -> f64 {
        let input = self.input();
        let loads = input.server_loads().into_iter().zip(&self.servers);
        let greatest = loads.map(|(load, server)| load / server.weight);
        greatest.fold(0.0, f64::max) / input.mean_load()
    }

    fn slots_of(&self, server: u16) -> usize {
        let owned = |place: &&SlotPlace| **place == SlotPlace::Owned(server);
        self.places.iter().filter(owned).count()
    }
}

#[gtest]
fn every_policy_places_every_free_slot_and_no_other() {
    for kind in KINDS {
        let mut service = Service::new(7, 5_461);
        service.places[5] = SlotPlace::Fixed;
        service.places[6] = SlotPlace::Owned(3);
        let plan = kind.build().place(&service.input());
        let slots: BTreeSet<u16> = plan.assign.iter().map(|a| a.slot).collect();
        expect_that!(plan.assign.len(), eq(5_459), "{kind:?}");
        expect_that!(slots.len(), eq(5_459));
        expect_that!(slots.contains(&5) || slots.contains(&6), eq(false));
        service.servers.clear();
        expect_that!(kind.build().place(&service.input()).assign, is_empty());
    }
}

#[gtest]
fn load_follows_weights() {
    let mut service = Service::new(4, 4_000);
    service.servers[0].weight = 300.0;
    service.place(&mut GreedyPlacement::default());
    expect_that!(service.slots_of(0), all![ge(1_990), le(2_010)]);
    expect_that!(service.imbalance(), lt(1.02));
}

#[gtest]
fn a_cold_server_is_filled_in_steps_and_keeps_what_it_has() {
    let mut service = Service::new(4, 4_000);
    let mut policy = GreedyPlacement::default();
    service.servers[0].warmup_factor = 0.1;
    service.place(&mut policy);
    expect_that!(service.slots_of(0), all![ge(100), le(150)]);
    // A server that restarts has to warm up again, but keeps its slots.
    let mut service = Service::new(4, 4_000);
    service.place(&mut policy);
    service.servers[0].warmup_factor = 0.1;
    for _ in 0..10 {
        expect_that!(service.rebalance(&mut policy), eq(0));
    }
}

#[gtest]
fn very_hot_slots_get_different_servers() {
    let mut service = Service::new(4, 4_000);
    let mut policy = GreedyPlacement::default();
    service.place(&mut policy);
    // Two slots of one server each become as hot as all its other slots together.
    let hot: Vec<usize> = (0..4_000)
        .filter(|s| service.places[*s] == SlotPlace::Owned(0))
        .collect();
    for slot in &hot[..2] {
        service.loads[*slot] = 1_000.0;
    }
    for _ in 0..60 {
        service.rebalance(&mut policy);
    }
    expect_that!(service.places[hot[0]], not(eq(service.places[hot[1]])));
    expect_that!(service.imbalance(), lt(1.26));
}

#[gtest]
fn a_small_imbalance_moves_nothing() {
    let mut service = Service::new(4, 4_000);
    let mut policy = GreedyPlacement::default();
    service.place(&mut policy);
    for slot in 0..4_000 {
        if service.places[slot] == SlotPlace::Owned(0) {
            service.loads[slot] = 1.2;
        }
    }
    for _ in 0..10 {
        expect_that!(service.rebalance(&mut policy), eq(0));
    }
}

#[gtest]
fn a_single_round_of_imbalance_moves_nothing() {
    let mut service = Service::new(4, 4_000);
    let mut policy = GreedyPlacement::default();
    service.place(&mut policy);
    let even = service.loads.clone();
    for _ in 0..5 {
        service.loads[0] = 2_000.0;
        expect_that!(service.rebalance(&mut policy), eq(0));
        service.loads.clone_from(&even);
        expect_that!(service.rebalance(&mut policy), eq(0));
    }
}

#[gtest]
fn moves_stay_within_the_churn_budget() {
    let mut service = Service::new(2, 4_000);
    let mut policy = GreedyPlacement::default();
    service.place(&mut policy);
    service.servers.push(PlacementServer {
        name_hash: 9,
        weight: 100.0,
        warmup_factor: 1.0,
    });
    let rounds = 24;
    let moved: usize = (0..rounds).map(|_| service.rebalance(&mut policy)).sum();
    let minutes = f64::from(rounds) * REBALANCE_INTERVAL.as_secs_f64() / 60.0;
    let budget = minutes * f64::from(CHURN_SLOTS_PER_MINUTE) + f64::from(CHURN_BURST_SLOTS);
    expect_that!(f64::from(u32::try_from(moved).unwrap()), le(budget));
    expect_that!(moved, gt(0));
}

#[gtest]
fn min_max_reaches_an_even_load() {
    let mut service = Service::new(5, 4_000);
    let mut policy = MinMaxPlacement;
    service.place(&mut policy);
    for (slot, load) in service.loads.iter_mut().enumerate() {
        *load = if slot % 37 == 0 { 20.0 } else { 1.0 };
    }
    service.rebalance(&mut policy);
    expect_that!(service.imbalance(), lt(1.02));
}

#[gtest]
fn rendezvous_moves_only_the_slots_of_a_new_server() {
    let mut service = Service::new(4, 4_000);
    let mut policy = RendezvousPlacement;
    service.place(&mut policy);
    let before = service.places.clone();
    service.servers.push(PlacementServer {
        name_hash: 99,
        weight: 100.0,
        warmup_factor: 1.0,
    });
    let moved = service.rebalance(&mut policy);
    let changed = before.iter().zip(&service.places).filter(|(a, b)| a != b);
    expect_that!(changed.count(), eq(moved));
    expect_that!(service.slots_of(4), eq(moved));
}
