//! Incremental updates lead to the same directory as full ones.

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

/// There are only a few keys, so that the follower can store the owner of each key separately.
const LAST_KEY: u16 = 99;

/// A follower that applies updates in the simplest way.
#[derive(Debug, Default, PartialEq)]
struct NaiveFollower {
    position: DirectoryPosition,
    routes: RouteTable,
    servers: BTreeMap<String, ServerRecord>,
    /// Owner and fence of each key that has an owner.
    owners: BTreeMap<u16, (ServerIncarnation, Fence)>,
    evacuated_zones: BTreeSet<String>,
}

impl NaiveFollower {
    fn apply(&mut self, update: DirectoryUpdate) {
        self.position = DirectoryPosition {
            version: update.version,
            last_fence: update.last_fence,
            routes_version: self.position.routes_version,
        };
        if update.is_full {
            self.servers.clear();
            self.owners.clear();
        }
        if let Some(zones) = update.evacuated_zones {
            self.evacuated_zones = zones;
        }
        if let Some(delta) = update.routes {
            assert!(delta.applies_to(&self.routes));
            self.position.routes_version = delta.version;
            self.routes = delta.apply(std::mem::take(&mut self.routes));
        }
        for incarnation in update.removed {
            // A later incarnation may have started and ended between two updates. Its removal also
            // removes the earlier ones.
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

fn random_record(rng: &mut StdRng) -> ServerRecord {
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

fn random_route(rng: &mut StdRng) -> Route {
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

fn random_zone(rng: &mut StdRng) -> String {
    format!("zone-{}", rng.random_range(0..4))
}

fn random_command(rng: &mut StdRng, index: u64, state: &SiteState) -> SiteCommand {
    match rng.random_range(0..12) {
        10 => SiteCommand::BeginEvacuation(random_zone(rng)),
        11 => SiteCommand::FinishEvacuation(random_zone(rng)),
        0 => SiteCommand::PutRoutes(RouteTable {
            version: index,
            routes: (0..5)
                .map(|_| random_route(rng))
                .map(|route| (route.place(), route))
                .collect::<BTreeMap<_, _>>()
                .into_values()
                .collect(),
            ..RouteTable::default()
        }),
        1..=5 => SiteCommand::PutServer(random_record(rng)),
        6 => SiteCommand::RemoveServer(ServerRemoval {
            incarnation: random_record(rng).incarnation,
            cause: RemovalCause::Left,
        }),
        _ => {
            let key = rng.random_range(0..=LAST_KEY);
            let owner = state.registry().owner("archive", key);
            SiteCommand::MoveRange(RangeMove {
                service: "archive".into(),
                range: owner.map_or(KeyRange::new(0, LAST_KEY), |owned| {
                    KeyRange::new(key, owned.range.last)
                }),
                from: owner.map(|owned| owned.owner.clone()),
                to: random_record(rng).incarnation,
                handover: None,
            })
        }
    }
}

#[gtest]
fn incremental_updates_lead_to_the_same_directory_as_a_full_update() {
    for seed in 0..40 {
        let mut rng = StdRng::seed_from_u64(seed);
        let mut state = SiteState::default();
        let mut history = RouteHistory::default();
        let mut follower = NaiveFollower::default();
        for index in 1..400 {
            let command = random_command(&mut rng, index, &state);
            if state.apply(index, command) == CommandOutcome::RoutesChanged {
                history.record(state.routes().clone());
            }
            if rng.random_range(0..3) == 0
                && let Some(update) = state.update_since(follower.position, &history)
            {
                follower.apply(update);
                let mut new_follower = NaiveFollower::default();
                let full_update = state.update_since(DirectoryPosition::default(), &history);
                new_follower.apply(full_update.expect("a full update"));
                assert_that!(follower, eq(&new_follower), "seed {seed}, index {index}");
            }
        }
    }
}

#[gtest]
fn changes_of_moving_ranges_lead_to_the_newest_set_however_far_a_follower_lags() {
    let mut rng = StdRng::seed_from_u64(3);
    let mut history = MovesHistory::default();
    let mut moving: BTreeSet<MovingRange> = BTreeSet::new();
    let mut sent_version = 0;
    let mut followed = BTreeSet::new();
    let mut full_change_count = 0;
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
        let change = history.change_since(sent_version);
        full_change_count += u32::from(change.is_full);
        change.apply(&mut followed);
        sent_version = history.version();
        assert_that!(followed, eq(&moving), "fence {fence}");
    }
    // Only the first change is full, because the follower never lags by more sets than are kept.
    expect_that!(full_change_count, eq(1));
}
