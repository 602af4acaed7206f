//! Backend servers and a leader in virtual time, with calls that get lost or take effect late.

use std::collections::BTreeMap;
use std::time::Duration;

use chicory_ranges::{
    CallId, CallOutcome, GrantCall, GrantCoordinator, GrantCoordinatorConfig, GrantEffect,
    GrantEvent, Key, KeyRange, KeyWeights, PlannedServer, RangePlanner, RangeRegistry,
    ServerIncarnation,
};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

pub const SERVICE: &str = "archive";
pub const STEP: Duration = Duration::from_millis(50);

/// What one server holds: each key range with its fence and the end of its hold.
#[derive(Debug, Default)]
pub struct FakeServer {
    pub holds: BTreeMap<Key, (KeyRange, u64, Duration)>,
    /// Every fence that it has seen, with its keys.
    pub seen_fences: Vec<(KeyRange, u64)>,
    pub is_up: bool,
    /// Calls of the leader fail to connect, and are refused if set.
    pub is_cut: bool,
    pub cut_refuses: bool,
    /// Part of the calls, in percent, that get no answer and take effect late.
    pub late_percent: u32,
}

impl FakeServer {
    fn fence_above(&self, range: KeyRange, fence: u64) -> bool {
        let seen = self.seen_fences.iter();
        seen.filter(|(seen, _)| seen.overlaps(range))
            .any(|(_, known)| *known > fence)
    }

    fn apply(&mut self, arrived_at: Duration, content: &GrantCall) -> CallOutcome {
        match content {
            GrantCall::Grant {
                range, fence, hold, ..
            } => {
                if self.fence_above(*range, *fence) {
                    return CallOutcome::Fenced;
                }
                self.seen_fences.push((*range, *fence));
                self.carve(*range);
                // The clock that measures the hold runs 2 % slow.
                let ends_at = arrived_at + *hold + *hold / 50;
                self.holds.insert(range.first, (*range, *fence, ends_at));
                CallOutcome::Done { handover: None }
            }
            GrantCall::Release { range, .. } => {
                self.carve(*range);
                CallOutcome::Done {
                    handover: Some("state".into()),
                }
            }
        }
    }

    fn carve(&mut self, range: KeyRange) {
        let former = std::mem::take(&mut self.holds);
        for (held, fence, ends_at) in former.into_values() {
            for rest in held.without(range).into_iter().flatten() {
                self.holds.insert(rest.first, (rest, fence, ends_at));
            }
        }
    }

    pub fn holding(&self, now: Duration) -> impl Iterator<Item = KeyRange> {
        let is_up = self.is_up;
        let holds = self.holds.values();
        holds
            .filter(move |(_, _, ends_at)| is_up && now < *ends_at)
            .map(|(range, _, _)| *range)
    }
}

/// A leader with its book, and the servers of one service.
pub struct World {
    pub now: Duration,
    pub book: RangeRegistry,
    pub desk: GrantCoordinator,
    pub servers: BTreeMap<ServerIncarnation, FakeServer>,
    pub leaving: Vec<ServerIncarnation>,
    pub weights: KeyWeights,
    late_calls: Vec<(Duration, Duration, ServerIncarnation, GrantCall)>,
    pub rng: StdRng,
    pub moves: u32,
}

impl World {
    pub fn new(server_count: u64, seed: u64) -> Self {
        let incarnations =
            (0..server_count).map(|i| ServerIncarnation::new(format!("server-{i}"), 1));
        let up = || FakeServer {
            is_up: true,
            ..FakeServer::default()
        };
        let book = RangeRegistry::default();
        let now = Duration::from_secs(100);
        Self {
            now,
            desk: GrantCoordinator::new(GrantCoordinatorConfig::default(), now, &book),
            book,
            servers: incarnations
                .map(|incarnation| (incarnation, up()))
                .collect(),
            leaving: Vec::new(),
            weights: KeyWeights::even(),
            late_calls: Vec::new(),
            rng: StdRng::seed_from_u64(seed),
            moves: 0,
        }
    }

    /// Another leader takes over: it knows the book and nothing else.
    pub fn change_leader(&mut self) {
        self.desk = GrantCoordinator::new(GrantCoordinatorConfig::default(), self.now, &self.book);
    }

    pub fn feed(&mut self, event: GrantEvent) {
        let mut events = vec![event];
        while let Some(event) = events.pop() {
            for effect in self.desk.reduce(self.now, event, &self.book) {
                match effect {
                    GrantEffect::Propose(change) => {
                        let event = match self.book.apply(&change) {
                            Ok(_) => GrantEvent::RegistryChanged,
                            Err(_) => GrantEvent::MoveFailed {
                                service: change.service.clone(),
                                first: change.range.first,
                            },
                        };
                        self.moves += 1;
                        events.push(event);
                    }
                    GrantEffect::Call {
                        call, to, content, ..
                    } => {
                        events.push(self.call(call, &to, content));
                    }
                }
            }
        }
    }

    fn call(&mut self, call: CallId, to: &ServerIncarnation, content: GrantCall) -> GrantEvent {
        let now = self.now;
        let late = self.rng.random_range(0..100);
        let delay = Duration::from_millis(self.rng.random_range(2000..12_000));
        let outcome = match self.servers.get_mut(to) {
            None => CallOutcome::Unreachable,
            Some(server) if server.is_cut && server.cut_refuses => CallOutcome::ConnectionRefused,
            Some(server) if server.is_cut => CallOutcome::Unreachable,
            Some(server) if !server.is_up => CallOutcome::ConnectionRefused,
            Some(server) if late < server.late_percent => {
                self.late_calls
                    .push((now + delay, now, to.clone(), content));
                CallOutcome::Unanswered
            }
            Some(server) => server.apply(now, &content),
        };
        GrantEvent::CallEnded { call, outcome }
    }

    /// Lets time go on by one step, and checks that no key has two owners.
    pub fn step(&mut self) {
        self.now += STEP;
        let due: Vec<_> = self
            .late_calls
            .extract_if(.., |(at, ..)| *at <= self.now)
            .collect();
        for (_, arrived_at, incarnation, content) in due {
            if let Some(server) = self
                .servers
                .get_mut(&incarnation)
                .filter(|server| server.is_up)
            {
                server.apply(arrived_at, &content);
            }
        }
        let announcing: Vec<_> = self
            .servers
            .iter()
            .filter(|(_, server)| server.is_up && !server.is_cut)
            .map(|(incarnation, _)| incarnation.clone())
            .collect();
        if self.now.as_millis().is_multiple_of(800) {
            for incarnation in announcing {
                self.feed(GrantEvent::Announced(incarnation));
            }
        }
        if self.now.as_millis().is_multiple_of(200) {
            self.plan();
        }
        self.feed(GrantEvent::Tick);
        self.check_sole_owners();
    }

    pub fn run(&mut self, span: Duration) {
        let end = self.now + span;
        while self.now < end {
            self.step();
        }
    }

    fn plan(&mut self) {
        let eligible = self.servers.iter().filter(|(incarnation, server)| {
            let is_reachable = server.is_up && !server.is_cut;
            (is_reachable || self.desk.may_hold(self.now, incarnation))
                && !self.leaving.contains(incarnation)
        });
        let servers = eligible
            .map(|(incarnation, _)| PlannedServer {
                incarnation: incarnation.clone(),
                capacity: 3.0,
            })
            .collect();
        let mut owners = Vec::new();
        let departing: Vec<_> = self
            .desk
            .pending_transfers(SERVICE)
            .map(|(range, to)| (range, to.clone()))
            .collect();
        for owned in self.book.ranges(SERVICE) {
            let mut rest = vec![owned.range];
            for (range, to) in departing.iter().filter(|(r, _)| owned.range.covers(*r)) {
                rest = rest
                    .iter()
                    .flat_map(|part| part.without(*range))
                    .flatten()
                    .collect();
                owners.push((*range, to.clone()));
            }
            owners.extend(rest.into_iter().map(|part| (part, owned.owner.clone())));
        }
        let planner = RangePlanner::new(SERVICE.into(), servers, self.weights.clone());
        for transfer in planner.plan(&owners) {
            self.feed(GrantEvent::Transfer(transfer));
        }
    }

    pub fn check_sole_owners(&self) {
        let mut held: Vec<(KeyRange, &ServerIncarnation)> = Vec::new();
        for (incarnation, server) in &self.servers {
            for range in server.holding(self.now) {
                let other = held.iter().find(|(other, _)| other.overlaps(range));
                assert!(
                    other.is_none(),
                    "{range} is held by {incarnation} and by {:?} at {:?}",
                    other,
                    self.now
                );
                held.push((range, incarnation));
            }
        }
    }

    /// Keys that some server holds now.
    pub fn held_keys(&self) -> u32 {
        let servers = self.servers.values();
        servers
            .flat_map(|server| server.holding(self.now))
            .map(KeyRange::key_count)
            .sum()
    }
}
