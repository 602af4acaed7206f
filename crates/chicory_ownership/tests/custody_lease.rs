//! Compares limited and unlimited custody leases by the share of requests that callers can still
//! have served when zones are cut off or lost.
//!
//! `cargo test -p chicory_ownership --test custody_lease -- --nocapture` prints the figures.

mod common;

use std::time::Duration;

use common::fixtures::*;
use common::world::*;
use googletest::prelude::*;

const SPAN: Duration = Duration::from_mins(1);

/// Average shares of the slots that callers could reach, inside zone a and outside of it.
#[derive(Debug, Default)]
struct Served {
    inside: f64,
    outside: f64,
}

/// Runs a minute in which each of the `cut` zones is cut off, and measures which share of the slots
/// callers in zone a and in zone c can reach. If `is_lost` is set, zone a also loses all processes
/// and servers.
fn run(service: &str, cut: &[&str], is_lost: bool) -> Served {
    let mut world = World::new(11);
    world.run_for(Duration::from_secs(8));
    for zone in cut {
        world.zones.get_mut(*zone).unwrap().is_cut_off = true;
    }
    if is_lost {
        world
            .entries
            .iter_mut()
            .filter(|e| e.zone == "a")
            .for_each(|e| e.is_alive = false);
        world
            .servers
            .iter_mut()
            .filter(|s| s.record.zone == "a")
            .for_each(|s| s.is_alive = false);
    }
    let mut served = Served::default();
    let (mut steps, end) = (0.0, world.now + SPAN);
    while world.now < end {
        world.step();
        steps += 1.0;
        served.inside += reachable_share(&world, service, "a", cut);
        served.outside += reachable_share(&world, service, "c", cut);
    }
    Served {
        inside: served.inside / steps,
        outside: served.outside / steps,
    }
}

/// Returns the share of the slots that callers in zone `from` can reach.
fn reachable_share(world: &World, service: &str, from: &str, cut: &[&str]) -> f64 {
    // Samples ten slots of each zone's share.
    let slots: Vec<u16> = (0..30).map(|number| 100 + number * 546).collect();
    let is_reached = |slot: &&u16| {
        let server = world.serving(service, **slot);
        let zone = server.and_then(|server| {
            let mut servers = world.servers.iter();
            servers
                .find(|s| s.record.server == server)
                .map(|s| s.record.zone.clone())
        });
        zone.is_some_and(|zone| {
            let is_separated = cut.contains(&zone.as_str()) || cut.contains(&from);
            zone == from || !is_separated
        })
    };
    let served = u32::try_from(slots.iter().filter(is_reached).count()).unwrap();
    f64::from(served) / f64::from(u32::try_from(slots.len()).unwrap())
}

#[gtest]
fn unlimited_custody_serves_the_zone_cut_off_and_limited_custody_the_others() {
    println!("| failure for 60 s | custody lease | served in zone a | served in zone c |");
    println!("|---|---|---|---|");
    let mut figures = Vec::new();
    for (failure, cut, is_lost) in [
        ("zone a cut off", &["a"][..], false),
        ("all zones cut off", &ZONES[..], false),
        ("zone a lost", &["a"][..], true),
    ] {
        for (lease, service) in [("unlimited", BOARD), ("6 s", ARCHIVE)] {
            let Served { inside, outside } = run(service, cut, is_lost);
            let (inside, outside) = (inside * 100.0, outside * 100.0);
            println!("| {failure} | {lease} | {inside:.1} % | {outside:.1} % |");
            figures.push((inside, outside));
        }
    }
    // With unlimited leases each side of the partition serves its own slots all the time.
    expect_that!(figures[0], (ge(33.0), ge(66.0)));
    expect_that!(figures[2], (ge(33.0), ge(33.0)));
    // With limited leases the other zones take over the slots of the zone that is cut off or lost.
    expect_that!(figures[1].1, gt(figures[0].1 + 15.0));
    expect_that!(figures[5].1, gt(figures[4].1 + 15.0));
    // If all zones are cut off, limited leases end everywhere and no zone serves its slots.
    expect_that!(figures[3].1, lt(figures[2].1));
}
