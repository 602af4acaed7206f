//! Tests how the slots of servers are divided, and what a sender makes of its part.

use std::time::Duration;

use chicory_policy::{
    LineSender, LineServer, Occupancy, SlotCandidate, SlotChoice, SlotLine, SlotStep,
};
use googletest::prelude::*;

const ZONES: [&str; 3] = ["east", "north", "west"];
const START: Duration = Duration::from_secs(100);
const TYPICAL: Duration = Duration::from_millis(200);

fn servers() -> Vec<LineServer<usize>> {
    let speeds = [0.5, 0.7, 1.0, 1.6];
    let servers = (0..12).map(|id| LineServer {
        id,
        zone: ZONES[id % 3].into(),
        slots: 3,
        speed: speeds[id / 3],
    });
    servers.collect()
}

fn senders(demands: impl IntoIterator<Item = f64>) -> Vec<LineSender> {
    let zones = ZONES.iter().cycle();
    let senders = demands
        .into_iter()
        .zip(zones)
        .map(|(demand, zone)| LineSender {
            zone: (*zone).into(),
            demand,
        });
    senders.collect()
}

fn capacity_of(part: &[(usize, f64)]) -> f64 {
    let servers = servers();
    part.iter()
        .map(|(id, slots)| slots * servers[*id].speed)
        .sum()
}

fn candidate(own_slots: f64, full_probability: f64) -> SlotCandidate {
    SlotCandidate {
        own_slots,
        slots: 3,
        in_flight: 0,
        speed: 1.0,
        full_probability,
    }
}

/// Guards against slots that belong to nobody or to several senders.
#[gtest]
fn parts_are_in_proportion_to_demand_and_use_each_slot_once() {
    let demands = [10.0, 20.0, 30.0, 0.0, 25.0, 12.0, 9.0, 31.0];
    let parts = SlotLine::new(servers()).parts(&senders(demands));
    for server in 0..12 {
        let given = parts.iter().flatten().filter(|(id, _)| *id == server);
        let slots: f64 = given.map(|(_, slots)| slots).sum();
        expect_that!(slots, near(3.0, 1e-3));
    }
    let unit = capacity_of(&parts[0]) / demands[0];
    for (part, demand) in parts.iter().zip(demands) {
        let expected = if demand == 0.0 { 0.856 } else { demand };
        expect_that!(capacity_of(part) / unit, near(expected, 0.01));
    }
}

/// Guards against requests that cross zones although their own zone has slots enough.
#[gtest]
fn parts_lie_in_the_zones_of_their_senders_when_demand_is_even() {
    let senders = senders([10.0; 12]);
    let parts = SlotLine::new(servers()).parts(&senders);
    for (sender, part) in senders.iter().zip(&parts) {
        let in_zone = part.iter().filter(|(id, _)| ZONES[id % 3] == sender.zone);
        let in_zone: f64 = in_zone.map(|(_, slots)| slots).sum();
        let all: f64 = part.iter().map(|(_, slots)| slots).sum();
        expect_that!(in_zone / all, gt(0.999));
    }
}

/// Guards against a division by zero, or a panic, when nothing is known yet.
#[gtest]
fn parts_without_demand_servers_or_senders_are_even_or_empty() {
    let parts = SlotLine::new(servers()).parts(&senders([0.0; 4]));
    for part in &parts {
        expect_that!(capacity_of(part), near(34.2 / 3.0 / 4.0 * 3.0, 0.01));
    }
    expect_that!(
        SlotLine::<usize>::new(Vec::new()).parts(&senders([1.0])),
        elements_are![is_empty()]
    );
    expect_that!(SlotLine::new(servers()).parts(&[]), is_empty());
}

/// Guards against old statements that are believed like new ones, and against a server that is
/// never used again because it once stated an absurd load.
#[gtest]
fn statements_about_load_lose_their_weight_with_age() {
    let usual = 0.3;
    let stated = |total| Occupancy::new(START, total, 0);
    let probability = |total, age_ms| {
        let now = START + Duration::from_millis(age_ms);
        stated(total).full_probability(now, (0, 3), TYPICAL, usual)
    };
    expect_that!(probability(0, 0), near(0.0, 1e-9));
    expect_that!(probability(3, 0), near(1.0, 1e-9));
    expect_that!(probability(2, 0), near(0.0, 1e-9));
    for total in [0, 2, 3, 15, u32::MAX] {
        expect_that!(probability(total, 10_000), near(usual, 0.01), "{total}");
    }
    let own = stated(2).full_probability(START, (1, 3), TYPICAL, usual);
    expect_that!(own, near(1.0, 1e-9));
}

/// Guards against own slots that stay unused, and against waiting without need.
#[gtest]
fn own_slots_go_first_and_are_awaited_only_where_others_are_probably_full() {
    let even = [0.5, 0.1];
    let step = |candidates: &[SlotCandidate]| {
        let mut choice = SlotChoice::default();
        for (id, candidate) in candidates.iter().enumerate() {
            choice.consider(id, candidate, even);
        }
        choice.step()
    };
    let used = SlotCandidate {
        in_flight: 1,
        ..candidate(1.0, 0.5)
    };
    expect_that!(step(&[]), none());
    expect_that!(
        step(&[candidate(0.0, 0.0), candidate(1.0, 0.5)]),
        some(eq(SlotStep::Own(1)))
    );
    expect_that!(
        step(&[used, candidate(0.0, 0.1)]),
        some(eq(SlotStep::Beyond(1)))
    );
    expect_that!(
        step(&[used, candidate(0.0, 0.3)]),
        some(eq(SlotStep::AwaitOwn(1)))
    );
    // A sender without a part has nothing to wait for.
    expect_that!(step(&[candidate(0.0, 0.9)]), some(eq(SlotStep::Beyond(0))));
    // A server that has just stated that it is full is not sent requests for its own slots.
    expect_that!(
        step(&[candidate(1.0, 0.95), candidate(0.0, 0.1)]),
        some(eq(SlotStep::Beyond(1)))
    );
}
