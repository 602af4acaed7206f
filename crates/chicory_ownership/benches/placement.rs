//! Measures the placement of all slots of twenty services, initially and after the loss of a
//! server.

use std::hint::black_box;
use std::time::Duration;

use chicory_ownership::{PlacementInput, PlacementKind, PlacementServer, SlotPlace};
use chicory_types::SLOTS_PER_SERVICE;
use criterion::{Criterion, criterion_group, criterion_main};

const SERVICES: usize = 20;
const SERVERS: u16 = 20;

fn servers() -> Vec<PlacementServer> {
    (0..u64::from(SERVERS - 1))
        .map(|name_hash| PlacementServer {
            name_hash,
            weight: 100.0,
            warmup_factor: 1.0,
        })
        .collect()
}

/// Returns the placement after the last server was lost while the others own their slots, or
/// before any slot was placed if `is_first` is set.
fn places(is_first: bool) -> Vec<SlotPlace> {
    let place = |slot: u16| match slot % SERVERS {
        _ if is_first => SlotPlace::Free,
        owner if owner == SERVERS - 1 => SlotPlace::Free,
        owner => SlotPlace::Owned(owner),
    };
    (0..SLOTS_PER_SERVICE).map(place).collect()
}

fn loads() -> Vec<f32> {
    let load = |slot: u16| if slot.is_multiple_of(97) { 50.0 } else { 1.0 };
    (0..SLOTS_PER_SERVICE).map(load).collect()
}

fn place_services(kind: PlacementKind, places: &[SlotPlace]) -> usize {
    let (servers, loads) = (servers(), loads());
    let mut assigned = 0;
    for _ in 0..SERVICES {
        let input = PlacementInput {
            now: Duration::ZERO,
            servers: &servers,
            places,
            loads: &loads,
        };
        assigned += kind.build().place(&input).assign.len();
    }
    assigned
}

fn benches(c: &mut Criterion) {
    for kind in [
        PlacementKind::Rendezvous,
        PlacementKind::Greedy,
        PlacementKind::MinMax,
    ] {
        for (name, is_first) in [("after one loss", false), ("from nothing", true)] {
            let places = places(is_first);
            c.bench_function(
                &format!("20 services x 16384 slots, {name}, {kind:?}"),
                |b| {
                    b.iter(|| black_box(place_services(kind, &places)));
                },
            );
        }
    }
}

criterion_group!(placement, benches);
criterion_main!(placement);
