//! Updates by parts lead to the same directory as the whole.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

use chicory_directory::{
    CommandOutcome, DirectoryPosition, DirectoryUpdate, MovesHistory, MovingRange, RemovalCause,
    RouteHistory, ServerRecord, ServerRemoval, ServerState, SiteCommand, SiteState,
};
use chicory_ranges::{Fence, KeyRange, RangeMove, ServerIncarnation};
use chicory_routes::{RequestKind, Route, RouteTable, RouteTarget};
use googletest::prelude::*;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

/// Few keys, so that each can be followed by itself.
const LAST_KEY: u16 = 99;

/// A follower that takes updates in the plainest way.
#[derive(Debug, Default, PartialEq)]
struct NaiveFollower {
    mark: DirectoryPosition,
    routes: RouteTable,
    servers: BTreeMap<String, ServerRecord>,
    /// Of each key that has one.
    owners: BTreeMap<u16, (ServerIncarnation, Fence)>,
}

impl NaiveFollower {
    fn take(&mut self, update: DirectoryUpdate) {
        self.mark = DirectoryPosition {
            version: update.version,
            last_fence: update.last_fence,
            routes_version: self.mark.routes_version,
        };
        if update.is_full {
            self.servers.clear();
            self.owners.clear();
        }
        if let Some(delta) = update.routes {
            assert!(delta.applies_to(&self.routes));
            self.mark.routes_version = delta.version;
            self.routes = delta.apply(std::mem::take(&mut self.routes));
        }
        for incarnation in update.removed {
            // A later life may have come and gone between two updates: earlier ones went with it.
            let known = self.servers.get(&incarnation.server);
            if known
                .is_some_and(|known| known.incarnation.started_at_ms <= incarnation.started_at_ms)
            {
                self.servers.remove(&incarnation.server);
            }
        }
        for record in update.servers {
            self.servers
                .insert(record.incarnation.server.clone(), record);
        }
        for of_service in update.ranges {
            for owned in of_service.ranges {
                for key in owned.range.first..=owned.range.last {
                    self.owners.insert(key, (owned.owner.clone(), owned.fence));
                }
            }
        }
    }
}

fn record(rng: &mut StdRng) -> ServerRecord {
    let index = rng.random_range(0..8_u16);
    let state = if rng.random_range(0..4) == 0 {
        ServerState::Draining
    } else {
        ServerState::Ready
    };
    ServerRecord {
        incarnation: ServerIncarnation::new(format!("server-{index}"), rng.random_range(1..5)),
        service: "archive".into(),
        address: SocketAddr::from(([10, 0, 0, 1], 8000 + rng.random_range(0..10_u16))),
        zone: "north".into(),
        software_version: String::new(),
        slots: 3,
        state,
        cold_for: Duration::ZERO,
    }
}

fn route(rng: &mut StdRng) -> Route {
    Route {
        name: "route".into(),
        host: "host".into(),
        path_prefix: format!("/{}/", rng.random_range(0..8)),
        kind: RequestKind::Idempotent,
        timeout: None,
        latency_target: None,
        priority: Some(rng.random_range(0..2)),
        max_attempts: None,
        target: RouteTarget::Service("archive".into()),
    }
}

fn command(rng: &mut StdRng, index: u64, state: &SiteState) -> SiteCommand {
    match rng.random_range(0..10) {
        0 => SiteCommand::PutRoutes(RouteTable {
            version: index,
            routes: (0..5)
                .map(|_| route(rng))
                .map(|r| (r.place(), r))
                .collect::<BTreeMap<_, _>>()
                .into_values()
                .collect(),
            ..RouteTable::default()
        }),
        1..=5 => SiteCommand::PutServer(record(rng)),
        6 => SiteCommand::RemoveServer(ServerRemoval {
            incarnation: record(rng).incarnation,
            cause: RemovalCause::Left,
        }),
        _ => {
            let key = rng.random_range(0..=LAST_KEY);
            let owner = state.registry().owner("archive", key);
            SiteCommand::MoveRange(RangeMove {
                service: "archive".into(),
                range: owner.map_or(KeyRange::new(0, LAST_KEY), |o| {
                    KeyRange::new(key, o.range.last)
                }),
                from: owner.map(|o| o.owner.clone()),
                to: record(rng).incarnation,
                handover: None,
            })
        }
    }
}

#[gtest]
fn followers_by_parts_and_by_the_whole_agree() {
    for seed in 0..40 {
        let mut rng = StdRng::seed_from_u64(seed);
        let mut state = SiteState::default();
        let mut history = RouteHistory::default();
        let mut follower = NaiveFollower::default();
        for index in 1..400 {
            let command = command(&mut rng, index, &state);
            if state.apply(index, command) == CommandOutcome::RoutesChanged {
                history.record(state.routes().clone());
            }
            if rng.random_range(0..3) == 0
                && let Some(update) = state.update_since(follower.mark, &history)
            {
                follower.take(update);
                let mut fresh = NaiveFollower::default();
                let everything = state.update_since(DirectoryPosition::default(), &history);
                fresh.take(everything.expect("a full update"));
                assert_that!(follower, eq(&fresh), "seed {seed}, index {index}");
            }
        }
    }
}

#[gtest]
fn followers_of_moves_know_what_moves_however_far_they_lag() {
    let mut rng = StdRng::seed_from_u64(3);
    let mut history = MovesHistory::default();
    let mut moving: BTreeSet<MovingRange> = BTreeSet::new();
    let mut told = 0;
    let mut followed = BTreeSet::new();
    let mut was_told_all = 0;
    for fence in 1..300_u64 {
        moving.retain(|_| rng.random_range(0..3) > 0);
        for _ in 0..rng.random_range(0..3) {
            moving.insert(MovingRange {
                service: "archive".into(),
                range: KeyRange::new(rng.random(), rng.random()),
                fence,
            });
        }
        let is_change = history.record(moving.clone());
        expect_that!(history.record(moving.clone()), eq(false));
        if !is_change || rng.random_range(0..4) == 0 {
            continue;
        }
        let change = history.change_since(told);
        was_told_all += u32::from(change.is_full);
        change.apply(&mut followed);
        told = history.version();
        assert_that!(followed, eq(&moving), "fence {fence}");
    }
    // Only the first time, as it never lags by as many sets as are remembered.
    expect_that!(was_told_all, eq(1));
}
