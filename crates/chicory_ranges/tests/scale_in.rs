//! What it costs a leader when many servers leave at once.

use std::time::Duration;

use chicory_ranges::{
    CallOutcome, GrantCoordinator, GrantCoordinatorConfig, GrantEffect, GrantEvent, Key, KeyRange,
    RangeMove, RangeRegistry, ServerIncarnation, Transfer,
};
use googletest::prelude::*;

const SERVICE: &str = "archive";

fn incarnation(index: usize) -> ServerIncarnation {
    ServerIncarnation::new(format!("server-{index}"), 1)
}

/// The part of the keys that a server of so many owns.
fn part(index: usize, server_count: usize) -> KeyRange {
    let bound = |index: usize| 65_536 * index / server_count;
    let key = |key: usize| Key::try_from(key).expect("a key");
    KeyRange::new(key(bound(index)), key(bound(index + 1) - 1))
}

/// A leader whose calls all succeed.
struct Leader {
    now: Duration,
    book: RangeRegistry,
    desk: GrantCoordinator,
}

impl Leader {
    fn new(server_count: usize) -> Self {
        let mut book = RangeRegistry::default();
        for index in 0..server_count {
            let first_grant = RangeMove {
                service: SERVICE.into(),
                range: part(index, server_count),
                from: None,
                to: incarnation(index),
                handover: None,
            };
            book.apply(&first_grant).expect("a fitting move");
        }
        let now = Duration::from_secs(1);
        let desk = GrantCoordinator::new(GrantCoordinatorConfig::default(), now, &book);
        let mut leader = Self { now, book, desk };
        let incarnations = (0..server_count).map(incarnation);
        leader.settle(incarnations.map(GrantEvent::Announced).collect());
        // Grants of a former leader have run out.
        leader.now += Duration::from_secs(30);
        leader.settle(vec![GrantEvent::Tick]);
        leader
    }

    /// Takes in what came together, and then what follows from it, until nothing does.
    fn settle(&mut self, mut events: Vec<GrantEvent>) {
        while !events.is_empty() {
            let came_together = std::mem::take(&mut events);
            let effects = self.desk.reduce_all(self.now, came_together, &self.book);
            events.extend(effects.into_iter().map(|effect| self.carry_out(effect)));
        }
    }

    fn carry_out(&mut self, effect: GrantEffect) -> GrantEvent {
        match effect {
            GrantEffect::Propose(change) => {
                self.book.apply(&change).expect("a fitting move");
                GrantEvent::RegistryChanged
            }
            GrantEffect::Call { call, .. } => GrantEvent::CallEnded {
                call,
                outcome: CallOutcome::Done { handover: None },
            },
        }
    }
}

/// Ranges looked at while a third of the servers leave.
fn visits_of_a_scale_in(server_count: usize) -> u64 {
    let mut leader = Leader::new(server_count);
    let before = leader.desk.visit_count();
    let transfers = (0..server_count).step_by(3).map(|index| {
        GrantEvent::Transfer(Transfer {
            service: SERVICE.into(),
            range: part(index, server_count),
            from: Some(incarnation(index)),
            to: incarnation(index + 1),
        })
    });
    leader.settle(transfers.collect());
    let moved = leader.book.all_ranges();
    let leaving = moved.filter(|(_, owned)| {
        (0..server_count)
            .step_by(3)
            .any(|index| owned.owner == incarnation(index))
    });
    expect_that!(leaving.count(), eq(0));
    leader.desk.visit_count() - before
}

#[gtest]
fn work_of_a_scale_in_does_not_grow_with_the_square_of_the_servers() {
    let few = visits_of_a_scale_in(150);
    let many = visits_of_a_scale_in(600);
    expect_that!(many, le(few * 5));
}
