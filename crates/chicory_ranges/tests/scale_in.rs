//! Work of a leader when many servers leave at once.

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

/// Returns the keys that one of `server_count` servers owns.
fn range_of_server(index: usize, server_count: usize) -> KeyRange {
    let bound = |index: usize| 65_536 * index / server_count;
    let key = |key: usize| Key::try_from(key).expect("a valid key");
    KeyRange::new(key(bound(index)), key(bound(index + 1) - 1))
}

/// A leader whose calls all succeed.
struct Leader {
    now: Duration,
    registry: RangeRegistry,
    coordinator: GrantCoordinator,
}

impl Leader {
    fn new(server_count: usize) -> Self {
        let mut registry = RangeRegistry::default();
        for index in 0..server_count {
            let first_grant = RangeMove {
                service: SERVICE.into(),
                range: range_of_server(index, server_count),
                from: None,
                to: incarnation(index),
                handover: None,
            };
            registry.apply(&first_grant).expect("a valid move");
        }
        let now = Duration::from_secs(1);
        let coordinator = GrantCoordinator::new(GrantCoordinatorConfig::default(), now, &registry);
        let mut leader = Self {
            now,
            registry,
            coordinator,
        };
        let incarnations = (0..server_count).map(incarnation);
        leader.run_to_completion(incarnations.map(GrantEvent::Announced).collect());
        // By then all grants of a former leader have expired.
        leader.now += Duration::from_secs(30);
        leader.run_to_completion(vec![GrantEvent::Tick]);
        leader
    }

    /// Handles a batch of events and then the events that result from its effects, until there are
    /// no more.
    fn run_to_completion(&mut self, mut events: Vec<GrantEvent>) {
        while !events.is_empty() {
            let batch = std::mem::take(&mut events);
            let effects = self.coordinator.reduce_all(self.now, batch, &self.registry);
            events.extend(effects.into_iter().map(|effect| self.run_effect(effect)));
        }
    }

    fn run_effect(&mut self, effect: GrantEffect) -> GrantEvent {
        match effect {
            GrantEffect::Propose(change) => {
                self.registry.apply(&change).expect("a valid move");
                GrantEvent::RegistryChanged
            }
            GrantEffect::Call { call, .. } => GrantEvent::CallEnded {
                call,
                outcome: CallOutcome::Done {
                    handover: None,
                    link: Some(1),
                },
            },
        }
    }
}

/// Returns how many ranges the coordinator visits while a third of the servers leave.
fn ranges_visited_during_scale_in(server_count: usize) -> u64 {
    let mut leader = Leader::new(server_count);
    let before = leader.coordinator.visited_range_count();
    let transfers = (0..server_count).step_by(3).map(|index| {
        GrantEvent::Transfer(Transfer {
            service: SERVICE.into(),
            range: range_of_server(index, server_count),
            from: Some(incarnation(index)),
            to: incarnation(index + 1),
        })
    });
    leader.run_to_completion(transfers.collect());
    let ranges_after_scale_in = leader.registry.all_ranges();
    let leaving = ranges_after_scale_in.filter(|(_, owned)| {
        (0..server_count)
            .step_by(3)
            .any(|index| owned.owner == incarnation(index))
    });
    expect_that!(leaving.count(), eq(0));
    leader.coordinator.visited_range_count() - before
}

#[gtest]
fn work_of_a_scale_in_grows_less_than_with_the_square_of_the_servers() {
    let visits_with_few_servers = ranges_visited_during_scale_in(150);
    let visits_with_many_servers = ranges_visited_during_scale_in(600);
    expect_that!(visits_with_many_servers, le(visits_with_few_servers * 5));
}
