//! Callers, servers and a leader that plans owners of keys.

use std::collections::BTreeMap;
use std::fmt;
use std::time::Duration;

use chicory_ranges::{
    Key, KeyLoad, KeyRange, PlannedServer, RangeMove, RangePlanner, RangeRegistry,
    ServerIncarnation,
};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

use super::load::{HotKeys, Load};
use super::server::{Admission, SLOTS, Server};

const SERVICE: &str = "archive";
/// Requests a second for each server.
const RATE_PER_SERVER: f64 = 4.6;
/// Mean time that a request keeps a slot of a server of speed 1 busy.
const WORK_TIME_S: f64 = 0.44;
/// Relative speeds of servers.
const SPEEDS: [f64; 4] = [0.5, 1.0, 1.0, 1.5];
/// Time in which an answer is of full use.
const LATENCY_TARGET: Duration = Duration::from_millis(1500);
/// Time between two reports of the requests for each key.
const REPORT_INTERVAL: Duration = Duration::from_millis(350);
const BALANCING_INTERVAL: Duration = Duration::from_millis(400);
/// Time for which keys have no owner while they move: the former one finishes what it runs.
const MOVE_TIME: Duration = Duration::from_millis(450);
/// Time in which the leader learns the load before it is counted what callers get.
const WARMUP: Duration = Duration::from_secs(6);
/// When callers stop.
const SEND_END: Duration = Duration::from_secs(26);
const END: Duration = Duration::from_secs(30);

/// What callers got, and what it cost.
#[derive(Clone, Copy, Debug, Default)]
pub struct Outcome {
    pub requests: u32,
    pub in_time: u32,
    pub turned_away: u32,
    pub moves: u32,
    /// Keys that changed their owner.
    pub moved_keys: u32,
}

impl Outcome {
    pub fn add(&mut self, other: Self) {
        self.requests += other.requests;
        self.in_time += other.in_time;
        self.turned_away += other.turned_away;
        self.moves += other.moves;
        self.moved_keys += other.moved_keys;
    }

    /// Share of the requests that were answered in time.
    pub fn in_time_share(&self) -> f64 {
        f64::from(self.in_time) / f64::from(self.requests)
    }
}

impl fmt::Display for Outcome {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{:.3} in time, {:.3} turned away, {} moves of {} keys, {} requests",
            self.in_time_share(),
            f64::from(self.turned_away) / f64::from(self.requests),
            self.moves,
            self.moved_keys,
            self.requests
        )
    }
}

#[derive(Clone, Copy)]
enum Event {
    /// A caller sends a request.
    Send,
    /// A request for a key that moved is sent on; the time at which its caller sent it.
    Resend(Key, Duration),
    /// A server has finished a request; the time at which its caller sent it.
    Finish(usize, Duration),
    Report,
    Plan,
}

pub struct World {
    now: Duration,
    servers: Vec<Server>,
    load: Load,
    rng: StdRng,
    registry: RangeRegistry,
    /// Until when keys have no owner because they move.
    moving: Vec<Duration>,
    /// Ends of the moves that are under way.
    move_ends: Vec<Duration>,
    unreported: BTreeMap<Key, u32>,
    key_load: KeyLoad,
    events: BTreeMap<(Duration, u64), Event>,
    event_count: u64,
    outcome: Outcome,
}

fn incarnation(index: usize) -> ServerIncarnation {
    ServerIncarnation::new(format!("server-{index:04}"), 1)
}

fn index_of(incarnation: &ServerIncarnation) -> usize {
    let index = incarnation.server.strip_prefix("server-");
    index
        .and_then(|index| index.parse().ok())
        .expect("an index")
}

impl World {
    pub fn new(server_count: usize, hot_keys: HotKeys, seed: u64) -> Self {
        let mut rng = StdRng::seed_from_u64(seed);
        let speeds = (0..server_count).map(|index| SPEEDS[index % SPEEDS.len()]);
        let mut world = Self {
            now: Duration::ZERO,
            servers: speeds.map(Server::new).collect(),
            load: Load::new(hot_keys, &mut rng),
            rng,
            registry: RangeRegistry::default(),
            moving: vec![Duration::ZERO; usize::from(Key::MAX) + 1],
            move_ends: Vec::new(),
            unreported: BTreeMap::new(),
            key_load: KeyLoad::new(Duration::ZERO),
            events: BTreeMap::new(),
            event_count: 0,
            outcome: Outcome::default(),
        };
        world.plan();
        for event in [Event::Send, Event::Report, Event::Plan] {
            world.schedule(Duration::from_millis(1), event);
        }
        world
    }

    pub fn play(mut self) -> Outcome {
        while let Some(((at, _), event)) = self.events.pop_first() {
            if at >= END {
                break;
            }
            self.now = at;
            self.handle(event);
        }
        self.outcome
    }

    fn schedule(&mut self, after: Duration, event: Event) {
        self.event_count += 1;
        self.events
            .insert((self.now + after, self.event_count), event);
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Send => {
                let server_count = u32::try_from(self.servers.len()).expect("a small number");
                let rate = RATE_PER_SERVER * f64::from(server_count);
                let pause = -self.rng.random::<f64>().max(1e-12).ln() / rate;
                if self.now < SEND_END {
                    self.schedule(Duration::from_secs_f64(pause), Event::Send);
                }
                let server_count = self.servers.len();
                let key = self.load.next_key(self.now, server_count, &mut self.rng);
                *self.unreported.entry(key).or_default() += 1;
                if self.now >= WARMUP {
                    self.outcome.requests += 1;
                }
                self.send(key, self.now);
            }
            Event::Resend(key, sent_at) => self.send(key, sent_at),
            Event::Finish(server, sent_at) => self.finish(server, sent_at),
            Event::Report => {
                self.schedule(REPORT_INTERVAL, Event::Report);
                for (key, count) in std::mem::take(&mut self.unreported) {
                    self.key_load.add(key, count);
                }
            }
            Event::Plan => {
                self.schedule(BALANCING_INTERVAL, Event::Plan);
                self.key_load.decay(self.now);
                self.plan();
            }
        }
    }

    fn send(&mut self, key: Key, sent_at: Duration) {
        let moves_until = self.moving[usize::from(key)];
        if moves_until > self.now {
            self.schedule(
                moves_until.saturating_sub(self.now),
                Event::Resend(key, sent_at),
            );
            return;
        }
        let owned = self.registry.owner(SERVICE, key).expect("an owner");
        let server = index_of(&owned.owner);
        match self.servers[server].admit(sent_at) {
            Admission::Runs => self.run(server, sent_at),
            Admission::TurnedAway if sent_at >= WARMUP => self.outcome.turned_away += 1,
            Admission::Waits | Admission::TurnedAway => {}
        }
    }

    fn run(&mut self, server: usize, sent_at: Duration) {
        let spread = self.rng.random_range(0.6..1.4);
        let work_s = WORK_TIME_S * spread / self.servers[server].speed;
        self.schedule(
            Duration::from_secs_f64(work_s),
            Event::Finish(server, sent_at),
        );
    }

    fn finish(&mut self, server: usize, sent_at: Duration) {
        if sent_at >= WARMUP && self.now <= sent_at + LATENCY_TARGET {
            self.outcome.in_time += 1;
        }
        if let Some(next) = self.servers[server].finish() {
            self.run(server, next);
        }
    }

    fn plan(&mut self) {
        let now = self.now;
        self.move_ends.retain(|end| *end > now);
        let eligible = self
            .servers
            .iter()
            .enumerate()
            .map(|(index, server)| PlannedServer {
                incarnation: incarnation(index),
                capacity: f64::from(SLOTS) * server.speed,
            });
        let planner =
            RangePlanner::new(SERVICE.into(), eligible.collect(), self.key_load.weights());
        let ranges = self.registry.ranges(SERVICE);
        let owners: Vec<(KeyRange, ServerIncarnation)> = ranges
            .map(|owned| (owned.range, owned.owner.clone()))
            .collect();
        if !owners.is_empty() && self.move_ends.len() >= planner.max_pending_transfers() {
            return;
        }
        for transfer in planner.plan(&owners) {
            self.carry_out(&RangeMove {
                service: transfer.service,
                range: transfer.range,
                from: transfer.from,
                to: transfer.to,
                handover: None,
            });
        }
    }

    fn carry_out(&mut self, change: &RangeMove) {
        let range = change.range;
        let is_first = change.from.is_none();
        let keys = usize::from(range.first)..=usize::from(range.last);
        // Keys that are under way stay until they have arrived.
        if self.moving[keys.clone()]
            .iter()
            .any(|until| *until > self.now)
        {
            return;
        }
        self.registry
            .apply(change)
            .expect("the owner that was planned for");
        if is_first {
            return;
        }
        let end = self.now + MOVE_TIME;
        self.moving[keys].fill(end);
        self.move_ends.push(end);
        if self.now >= WARMUP {
            self.outcome.moves += 1;
            self.outcome.moved_keys += range.key_count();
        }
    }
}
