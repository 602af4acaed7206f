//! Compares choices among the servers of a service without keys, in virtual time.
//!
//! `cargo test -p chicory_policy --test even_load -- --ignored --nocapture` prints all figures.

mod backend;
mod choice;
mod entry;
mod load;
mod measured;
mod random;
mod world;

use googletest::prelude::*;

use crate::choice::Choice;
use crate::load::Load;
use crate::world::World;

/// Bounds of the share of requests that arrive at a full server while another one has a free slot,
/// by the share of capacity that is asked for.
const TARGETS: [(f64, f64); 2] = [(0.6, 0.17), (0.8, 0.35)];

/// Guards against a choice with which servers are overloaded in turn while others are idle.
#[gtest]
fn requests_rarely_arrive_at_full_servers_while_others_have_free_slots() {
    for (share, bound) in TARGETS {
        let calm = Load::measured_deployment(share);
        for load in [calm.clone(), calm.with_slow_phases()] {
            let chosen = World::run(&load, Choice::OwnSlots);
            expect_that!(chosen.full_share(), lt(bound), "{load:?}");
        }
    }
}

/// Guards against a choice that reaches free slots only by slow servers or long waits.
#[gtest]
fn callers_wait_less_than_with_two_choices_by_true_queues() {
    for (share, _) in TARGETS {
        let calm = Load::measured_deployment(share);
        for load in [calm.clone(), calm.with_slow_phases()] {
            let chosen = World::run(&load, Choice::OwnSlots).percentile_s(95);
            let two_choices = World::run(&load, Choice::TwoTrueQueues).percentile_s(95);
            expect_that!(chosen, lt(two_choices), "{load:?}");
        }
    }
}

/// Prints the figures of all choices.
#[test]
#[ignore = "prints figures for docs/design/server-load.md"]
fn figures_of_all_choices() {
    for slow in [false, true] {
        for entries in [12, 75, 190] {
            for choice in Choice::ALL {
                let figures = TARGETS.map(|(share, _)| {
                    let load = match entries {
                        12 => Load::measured_deployment(share),
                        _ => Load::orders(entries, share),
                    };
                    let load = if slow { load.with_slow_phases() } else { load };
                    let measured = World::run(&load, choice);
                    let millis = measured.percentile_s(95) * 1e3;
                    let (full, rejected) = (measured.full_share(), measured.rejected_share());
                    format!("{full:.3} | {millis:.0} ms | {rejected:.4}")
                });
                println!(
                    "slow: {slow} | {entries} | {choice:?} | {}",
                    figures.join(" | ")
                );
            }
        }
    }
}
