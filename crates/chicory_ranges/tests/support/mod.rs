//! Backend servers and a leader in virtual time, with calls that are lost or take effect late.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use chicory_ranges::{
    CallId, CallOutcome, GrantCall, GrantCoordinator, GrantCoordinatorConfig, GrantEffect,
    GrantEvent, Key, KeyRange, KeyWeights, LinkId, PlannedServer, RangePlanner, RangeRegistry,
    ServerIncarnation,
};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

pub const SERVICE: &str = "archive";
pub const STEP: Duration = Duration::from_millis(50);

/// A backend server that tracks the keys it holds.
#[derive(Debug, Default)]
pub struct FakeServer {
    /// Held ranges by first key, each with its fence and the end of its hold.
    pub holds: BTreeMap<Key, (KeyRange, u64, Duration)>,
    /// Every fence that it has seen, with its keys.
    pub seen_fences: Vec<(KeyRange, u64)>,
    pub is_up: bool,
    /// Whether calls of the leader fail to connect.
    pub is_partitioned: bool,
    /// Whether a partition refuses connections instead of leaving the server unreachable.
    pub refuses_connections: bool,
    /// Percentage of the calls that get no answer and take effect late.
    pub late_percent: u32,
}

impl FakeServer {
    fn has_seen_greater_fence(&self, range: KeyRange, fence: u64) -> bool {
        let seen = self.seen_fences.iter();
        seen.filter(|(seen, _)| seen.overlaps(range))
            .any(|(_, known)| *known > fence)
    }

    fn apply(&mut self, arrived_at: Duration, content: &GrantCall) -> CallOutcome {
        match content {
            GrantCall::Grant {
                range, fence, hold, ..
            } => {
                if self.has_seen_greater_fence(*range, *fence) {
                    return CallOutcome::Fenced;
                }
                self.seen_fences.push((*range, *fence));
                self.remove_keys(*range);
                let ends_at = arrived_at + server_hold(*hold);
                self.holds.insert(range.first, (*range, *fence, ends_at));
                CallOutcome::Done {
                    handover: None,
                    link: None,
                }
            }
            GrantCall::Release { range, .. } => {
                self.remove_keys(*range);
                CallOutcome::Done {
                    handover: Some("state".into()),
                    link: None,
                }
            }
        }
    }

    fn remove_keys(&mut self, range: KeyRange) {
        let former = std::mem::take(&mut self.holds);
        for (held, fence, ends_at) in former.into_values() {
            for rest in held.without(range).into_iter().flatten() {
                self.holds.insert(rest.first, (rest, fence, ends_at));
            }
        }
    }

    pub fn held_ranges(&self, now: Duration) -> impl Iterator<Item = KeyRange> {
        let is_up = self.is_up;
        let holds = self.holds.values();
        holds
            .filter(move |(_, _, ends_at)| is_up && now < *ends_at)
            .map(|(range, _, _)| *range)
    }
}

/// Returns how long a server holds keys: the clock that measures the hold runs 2 % slow.
fn server_hold(hold: Duration) -> Duration {
    hold + hold / 50
}

/// A leader with its registry, and the servers of one service.
pub struct Cluster {
    pub now: Duration,
    pub registry: RangeRegistry,
    pub coordinator: GrantCoordinator,
    pub servers: BTreeMap<ServerIncarnation, FakeServer>,
    /// Servers that are leaving: the planner assigns them no keys.
    pub leaving: Vec<ServerIncarnation>,
    pub weights: KeyWeights,
    /// Calls without an answer: when each takes effect, when it arrived, its server and the call.
    late_calls: Vec<(Duration, Duration, ServerIncarnation, GrantCall)>,
    pub rng: StdRng,
    /// Number of moves that were proposed.
    pub move_count: u32,
    /// Number of those moves that left the keys with their owner, under a greater fence.
    pub refence_count: u32,
    /// Connections over which keys were granted, with the processes that they lead to.
    pub links: BTreeMap<LinkId, ServerIncarnation>,
    last_link: LinkId,
    /// Servers that have started, and whose announcements have not arrived yet.
    pub unannounced: BTreeSet<ServerIncarnation>,
    /// The processes that listen at the addresses of those that have ended.
    pub listeners: BTreeMap<ServerIncarnation, ServerIncarnation>,
    /// Every grant that a process accepted, also one that has ended.
    accepted_grants: Vec<(KeyRange, u64, ServerIncarnation)>,
}

impl Cluster {
    /// Creates servers that state their start time, so that their ids may be those of former
    /// processes.
    pub fn new(server_count: u64, seed: u64) -> Self {
        Self::with_start_times(1, server_count, seed)
    }

    /// Creates servers that state this start time, or none if it is 0.
    pub fn with_start_times(started_at_ms: u64, server_count: u64, seed: u64) -> Self {
        let incarnations = (0..server_count)
            .map(|index| ServerIncarnation::new(format!("server-{index}"), started_at_ms));
        let up = || FakeServer {
            is_up: true,
            ..FakeServer::default()
        };
        let registry = RangeRegistry::default();
        let now = Duration::from_secs(100);
        Self {
            now,
            coordinator: GrantCoordinator::new(GrantCoordinatorConfig::default(), now, &registry),
            registry,
            servers: incarnations
                .map(|incarnation| (incarnation, up()))
                .collect(),
            leaving: Vec::new(),
            weights: KeyWeights::even(),
            late_calls: Vec::new(),
            rng: StdRng::seed_from_u64(seed),
            move_count: 0,
            refence_count: 0,
            links: BTreeMap::new(),
            last_link: 0,
            unannounced: BTreeSet::new(),
            listeners: BTreeMap::new(),
            accepted_grants: Vec::new(),
        }
    }

    /// Returns the process that listens at the address of a server.
    fn listener(&self, server: &ServerIncarnation) -> ServerIncarnation {
        let mut listener = server;
        while let Some(next) = self.listeners.get(listener) {
            listener = next;
        }
        listener.clone()
    }

    fn deliver(
        &mut self,
        to: &ServerIncarnation,
        arrived_at: Duration,
        content: &GrantCall,
    ) -> CallOutcome {
        let Some(server) = self.servers.get_mut(to) else {
            return CallOutcome::ConnectionRefused;
        };
        let outcome = server.apply(arrived_at, content);
        if let (
            GrantCall::Grant {
                range, fence, hold, ..
            },
            CallOutcome::Done { .. },
        ) = (content, &outcome)
        {
            // A grant that takes effect after its hold has ended grants nothing.
            let has_effect = self.now < arrived_at + server_hold(*hold);
            if has_effect {
                self.record_accepted(*range, *fence, to);
            }
        }
        outcome
    }

    /// Asserts that no other process has had the keys under this fence or a greater one.
    fn record_accepted(&mut self, range: KeyRange, fence: u64, by: &ServerIncarnation) {
        let mut accepted = self.accepted_grants.iter();
        let earlier = accepted.find(|(other_range, other_fence, other)| {
            other_range.overlaps(range) && *other_fence >= fence && other != by
        });
        assert!(
            earlier.is_none(),
            "{by} takes {range} under fence {fence} after {earlier:?} at {:?}",
            self.now
        );
        self.accepted_grants.push((range, fence, by.clone()));
    }

    /// Replaces the leader by another one, which knows only the registry.
    pub fn change_leader(&mut self) {
        self.change_leader_with(GrantCoordinatorConfig::default());
    }

    /// Replaces the leader by one with other settings, which knows only the registry.
    pub fn change_leader_with(&mut self, config: GrantCoordinatorConfig) {
        self.coordinator = GrantCoordinator::new(config, self.now, &self.registry);
    }

    pub fn handle_event(&mut self, event: GrantEvent) {
        let mut events = vec![event];
        while let Some(event) = events.pop() {
            for effect in self.coordinator.reduce(self.now, event, &self.registry) {
                match effect {
                    GrantEffect::Propose(change) => {
                        let event = match self.registry.apply(&change) {
                            Ok(_) => GrantEvent::RegistryChanged,
                            Err(_) => GrantEvent::MoveFailed {
                                service: change.service.clone(),
                                first: change.range.first,
                            },
                        };
                        self.move_count += 1;
                        if change.from.as_ref() == Some(&change.to) {
                            self.refence_count += 1;
                        }
                        events.push(event);
                    }
                    GrantEffect::Call {
                        call,
                        to,
                        content,
                        link,
                        ..
                    } => {
                        events.push(self.call(call, &to, &content, link));
                    }
                }
            }
        }
    }

    fn call(
        &mut self,
        call: CallId,
        to: &ServerIncarnation,
        content: &GrantCall,
        required_link: Option<LinkId>,
    ) -> GrantEvent {
        let outcome = match content {
            GrantCall::Grant { .. } => self.grant(to, content, required_link),
            GrantCall::Release { .. } => match self.connect(to) {
                Ok(process) => self.exchange(&process, content),
                Err(failure) => failure,
            },
        };
        GrantEvent::CallEnded { call, outcome }
    }

    /// Sends a grant on the connection of its fence, or on a new one if it may use any.
    fn grant(
        &mut self,
        to: &ServerIncarnation,
        content: &GrantCall,
        required_link: Option<LinkId>,
    ) -> CallOutcome {
        let (id, process) = match required_link {
            Some(id) => match self.links.get(&id) {
                Some(process) if self.is_link_open(process) => (id, process.clone()),
                _ => return CallOutcome::LinkLost,
            },
            None => match self.connect(to) {
                Ok(process) => (self.last_link + 1, process),
                Err(failure) => return failure,
            },
        };
        self.last_link = self.last_link.max(id);
        let mut outcome = self.exchange(&process, content);
        if let CallOutcome::Done { link, .. } = &mut outcome {
            *link = Some(id);
            self.links.insert(id, process);
        } else {
            self.links.remove(&id);
        }
        outcome
    }

    /// Whether a connection to a process is open: one that ends closes it, and so does a partition
    /// that refuses new ones.
    fn is_link_open(&self, process: &ServerIncarnation) -> bool {
        let server = self.servers.get(process);
        server.is_some_and(|server| {
            server.is_up && !(server.is_partitioned && server.refuses_connections)
        })
    }

    /// Opens a connection to the process at the address of a server, which refuses calls that name
    /// another server.
    fn connect(&self, to: &ServerIncarnation) -> Result<ServerIncarnation, CallOutcome> {
        let process = self.listener(to);
        match self.servers.get(&process) {
            None => Err(CallOutcome::Unreachable),
            Some(server) if server.is_partitioned && server.refuses_connections => {
                Err(CallOutcome::ConnectionRefused)
            }
            Some(server) if server.is_partitioned => Err(CallOutcome::Unreachable),
            Some(server) if !server.is_up => Err(CallOutcome::ConnectionRefused),
            Some(_) if process.server != to.server => Err(CallOutcome::OtherServer),
            Some(_) => Ok(process),
        }
    }

    /// Sends a call on an open connection. Bytes that a partition holds back are lost, as the
    /// sender resets the connection; other calls without an answer take effect late.
    fn exchange(&mut self, process: &ServerIncarnation, content: &GrantCall) -> CallOutcome {
        let now = self.now;
        let percent_drawn = self.rng.random_range(0..100);
        let delay = Duration::from_millis(self.rng.random_range(2000..12_000));
        match self.servers.get(process) {
            Some(server) if server.is_partitioned => CallOutcome::Unanswered,
            Some(server) if percent_drawn < server.late_percent => {
                let late_call = (now + delay, now, process.clone(), content.clone());
                self.late_calls.push(late_call);
                CallOutcome::Unanswered
            }
            _ => self.deliver(process, now, content),
        }
    }

    /// Advances time by one step and asserts that no key has two owners.
    pub fn step(&mut self) {
        self.now += STEP;
        let due: Vec<_> = self
            .late_calls
            .extract_if(.., |(at, ..)| *at <= self.now)
            .collect();
        for (_, arrived_at, incarnation, content) in due {
            let server = self.servers.get(&incarnation);
            if server.is_some_and(|server| server.is_up) {
                self.deliver(&incarnation, arrived_at, &content);
            }
        }
        let announcing: Vec<_> = self
            .servers
            .iter()
            .filter(|(incarnation, server)| {
                server.is_up && !server.is_partitioned && !self.unannounced.contains(*incarnation)
            })
            .map(|(incarnation, _)| incarnation.clone())
            .collect();
        if self.now.as_millis().is_multiple_of(800) {
            for incarnation in announcing {
                self.handle_event(GrantEvent::Announced(incarnation));
            }
        }
        if self.now.as_millis().is_multiple_of(200) {
            self.plan();
        }
        self.handle_event(GrantEvent::Tick);
        self.assert_no_key_has_two_owners();
    }

    pub fn run(&mut self, duration: Duration) {
        let end = self.now + duration;
        while self.now < end {
            self.step();
        }
    }

    fn plan(&mut self) {
        let eligible = self.servers.iter().filter(|(incarnation, server)| {
            let is_reachable = server.is_up && !server.is_partitioned;
            !self.unannounced.contains(*incarnation)
                && (is_reachable || self.coordinator.may_hold(self.now, incarnation))
                && !self.leaving.contains(incarnation)
        });
        let servers = eligible
            .map(|(incarnation, _)| PlannedServer {
                incarnation: incarnation.clone(),
                capacity: 3.0,
            })
            .collect();
        let mut owners = Vec::new();
        let in_transfer: Vec<_> = self
            .coordinator
            .pending_transfers(SERVICE)
            .map(|(range, to)| (range, to.clone()))
            .collect();
        for owned in self.registry.ranges(SERVICE) {
            let mut rest = vec![owned.range];
            for (range, to) in in_transfer.iter().filter(|(r, _)| owned.range.covers(*r)) {
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
            self.handle_event(GrantEvent::Transfer(transfer));
        }
    }

    pub fn assert_no_key_has_two_owners(&self) {
        let mut held: Vec<(KeyRange, &ServerIncarnation)> = Vec::new();
        for (incarnation, server) in &self.servers {
            for range in server.held_ranges(self.now) {
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

    /// Returns the number of keys that some server holds now.
    pub fn held_key_count(&self) -> u32 {
        let servers = self.servers.values();
        servers
            .flat_map(|server| server.held_ranges(self.now))
            .map(KeyRange::key_count)
            .sum()
    }
}
