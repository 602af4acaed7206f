//! Compares the goodput of the request path and of a naive proxy under overload, in virtual time.
//!
//! Four servers with four slots each have exponential service times with a mean of 10 ms. Callers
//! arrive in a Poisson stream and wait 500 ms. The naive proxy sends each request to a random
//! server, queues without a limit, and times out each try after 125 ms. It then tries up to three
//! times more without cancelling earlier tries. Goodput is the rate of complete answers that reach
//! their callers in time.
//!
//! Run with `cargo run --release -p chicory_dispatch --example goodput_under_overload`.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

use chicory_dispatch::{
    ConnectionId, Effect, Event, RequestHead, RequestIdEcho, RequestOrigin, RequestPath,
    RequestPathConfig,
};
use chicory_ownership::{RenewAnswer, ServerRecord, ViewChange, ViewUpdate};
use chicory_table::{CustodyLease, ServicePolicy, Table};
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};

const SERVERS: usize = 4;
const SLOTS: u32 = 4;
const MEAN_SERVICE: Duration = Duration::from_millis(10);
const CAPACITY_PER_S: f64 = 1_600.0;
const DEADLINE: Duration = Duration::from_millis(500);
const TRY_TIMEOUT: Duration = Duration::from_millis(125);
const NAIVE_TRIES: u32 = 4;
const RUN: Duration = Duration::from_secs(30);
const WARM_UP: Duration = Duration::from_secs(5);
const ZONE: &str = "vake-hall";

/// The counts of one run.
#[derive(Clone, Copy, Debug, Default)]
struct Tally {
    offered: u64,
    good: u64,
    runs: u64,
}

impl Tally {
    fn goodput_per_s(self) -> f64 {
        let span = RUN.saturating_sub(WARM_UP).as_secs_f64();
        as_f64(self.good) / span
    }
}

fn as_f64(count: u64) -> f64 {
    f64::from(u32::try_from(count).unwrap_or(u32::MAX))
}

/// The source of random servers and of exponentially distributed durations.
struct RandomSource {
    rng: SmallRng,
}

impl RandomSource {
    fn span(&mut self, mean: Duration) -> Duration {
        let uniform: f64 = self.rng.random_range(f64::EPSILON..1.0);
        mean.mul_f64(-uniform.ln())
    }

    fn server(&mut self) -> usize {
        self.rng.random_range(0..SERVERS)
    }
}

/// A queue of events, ordered by time.
struct EventQueue<T> {
    due: BTreeMap<(Duration, u64), T>,
    sequence: u64,
}

impl<T> EventQueue<T> {
    fn new() -> Self {
        Self {
            due: BTreeMap::new(),
            sequence: 0,
        }
    }

    fn schedule(&mut self, at: Duration, event: T) {
        self.sequence += 1;
        self.due.insert((at, self.sequence), event);
    }

    fn next(&mut self) -> Option<(Duration, T)> {
        self.due.pop_first().map(|((at, _), event)| (at, event))
    }

    fn next_at(&self) -> Option<Duration> {
        self.due.first_key_value().map(|((at, _), _)| *at)
    }
}

#[derive(Clone, Copy, Debug)]
enum NaiveEvent {
    Arrive,
    Done { server: usize, request: usize },
    TryTimeout { request: usize, tries: u32 },
}

/// Simulation of the naive proxy and its servers.
struct NaiveSimulation {
    random: RandomSource,
    events: EventQueue<NaiveEvent>,
    queues: Vec<VecDeque<usize>>,
    running: Vec<u32>,
    arrived: Vec<Duration>,
    is_answered: Vec<bool>,
    tally: Tally,
}

impl NaiveSimulation {
    fn run(rate_per_s: f64) -> Tally {
        let mut naive = Self {
            random: RandomSource {
                rng: SmallRng::seed_from_u64(1),
            },
            events: EventQueue::new(),
            queues: vec![VecDeque::new(); SERVERS],
            running: vec![0; SERVERS],
            arrived: Vec::new(),
            is_answered: Vec::new(),
            tally: Tally::default(),
        };
        let gap = Duration::from_secs_f64(1.0 / rate_per_s);
        naive.events.schedule(Duration::ZERO, NaiveEvent::Arrive);
        while let Some((now, event)) = naive.events.next() {
            if now >= RUN {
                break;
            }
            naive.apply(now, event, gap);
        }
        naive.tally
    }

    fn apply(&mut self, now: Duration, event: NaiveEvent, gap: Duration) {
        match event {
            NaiveEvent::Arrive => {
                self.arrived.push(now);
                self.is_answered.push(false);
                self.tally.offered += u64::from(now >= WARM_UP);
                self.send(now, self.arrived.len() - 1, 1);
                let next = now + self.random.span(gap);
                self.events.schedule(next, NaiveEvent::Arrive);
            }
            NaiveEvent::Done { server, request } => self.done(now, server, request),
            NaiveEvent::TryTimeout { request, tries } => {
                if !self.is_answered[request] && tries < NAIVE_TRIES {
                    self.send(now, request, tries + 1);
                }
            }
        }
    }

    fn send(&mut self, now: Duration, request: usize, tries: u32) {
        let server = self.random.server();
        self.queues[server].push_back(request);
        let timeout = NaiveEvent::TryTimeout { request, tries };
        self.events.schedule(now + TRY_TIMEOUT, timeout);
        self.start(now, server);
    }

    fn start(&mut self, now: Duration, server: usize) {
        while self.running[server] < SLOTS {
            let Some(request) = self.queues[server].pop_front() else {
                return;
            };
            self.running[server] += 1;
            self.tally.runs += u64::from(now >= WARM_UP);
            let end = now + self.random.span(MEAN_SERVICE);
            self.events
                .schedule(end, NaiveEvent::Done { server, request });
        }
    }

    fn done(&mut self, now: Duration, server: usize, request: usize) {
        self.running[server] -= 1;
        let in_time = now <= self.arrived[request] + DEADLINE;
        if in_time && !self.is_answered[request] {
            self.tally.good += u64::from(now >= WARM_UP);
        }
        self.is_answered[request] = true;
        self.start(now, server);
    }
}

enum PathEvent {
    Arrive,
    Deliver(Option<ConnectionId>, Event),
}

/// Simulation of the request path and its servers.
struct RequestPathSimulation {
    random: RandomSource,
    events: EventQueue<PathEvent>,
    path: RequestPath,
    closed: BTreeSet<ConnectionId>,
    connections_by_request: BTreeMap<u64, ConnectionId>,
    next: u64,
    tally: Tally,
}

impl RequestPathSimulation {
    fn run(rate_per_s: f64) -> Tally {
        let config = RequestPathConfig::builder("entry-1", ZONE).build();
        let mut simulation = Self {
            random: RandomSource {
                rng: SmallRng::seed_from_u64(1),
            },
            events: EventQueue::new(),
            path: RequestPath::new(config, Duration::ZERO),
            closed: BTreeSet::new(),
            connections_by_request: BTreeMap::new(),
            next: 0,
            tally: Tally::default(),
        };
        let gap = Duration::from_secs_f64(1.0 / rate_per_s);
        simulation.feed(Duration::ZERO, Event::Tick);
        simulation
            .events
            .schedule(Duration::from_millis(10), PathEvent::Arrive);
        loop {
            let wake = simulation.path.next_wakeup();
            let next = simulation.events.next_at().unwrap_or(wake);
            if next.min(wake) >= RUN {
                return simulation.tally;
            }
            if wake < next {
                simulation.feed(wake, Event::Tick);
            } else if let Some((now, event)) = simulation.events.next() {
                simulation.apply(now, event, gap);
            }
        }
    }

    fn apply(&mut self, now: Duration, event: PathEvent, gap: Duration) {
        match event {
            PathEvent::Arrive => {
                self.next += 1;
                self.tally.offered += u64::from(now >= WARM_UP);
                self.feed(now, Event::RequestArrived(head(self.next)));
                let next = now + self.random.span(gap);
                self.events.schedule(next, PathEvent::Arrive);
            }
            PathEvent::Deliver(Some(connection), _) if self.closed.contains(&connection) => {}
            PathEvent::Deliver(_, event) => {
                if let Event::AnswerFinished { request, .. } = &event {
                    self.connections_by_request.remove(request);
                    self.tally.good += u64::from(now >= WARM_UP);
                }
                self.feed(now, event);
            }
        }
    }

    fn feed(&mut self, now: Duration, event: Event) {
        for effect in self.path.reduce(now, event) {
            self.carry_out(now, effect);
        }
    }

    fn carry_out(&mut self, now: Duration, effect: Effect) {
        let network = Duration::from_millis(1);
        match effect {
            Effect::Connect { connection, .. } => {
                let event = Event::Connected { connection };
                self.events
                    .schedule(now + network, PathEvent::Deliver(Some(connection), event));
            }
            Effect::Close { connection } => {
                self.closed.insert(connection);
            }
            Effect::Write {
                request,
                connection,
                ..
            } => {
                self.connections_by_request.insert(request, connection);
                self.tally.runs += u64::from(now >= WARM_UP);
                let end = now + self.random.span(MEAN_SERVICE);
                let event = Event::AnswerStarted {
                    request,
                    status: 200,
                    echo: RequestIdEcho::Matched,
                    refusal: None,
                };
                self.events
                    .schedule(end, PathEvent::Deliver(Some(connection), event));
            }
            Effect::ForwardAnswer { request, .. } => {
                let event = Event::AnswerFinished {
                    request,
                    kept: None,
                    is_reusable: true,
                };
                let used_connection = self.connections_by_request.get(&request).copied();
                self.events
                    .schedule(now, PathEvent::Deliver(used_connection, event));
            }
            Effect::Renew { request, .. } => {
                let is_first = request.known_view == 0;
                let answer = granted(if is_first { view() } else { Vec::new() });
                let event = Event::RenewAnswered {
                    sent_at: now,
                    from: "entry-1".to_owned(),
                    answer,
                };
                self.events
                    .schedule(now + network, PathEvent::Deliver(None, event));
            }
            _ => {}
        }
    }
}

fn granted(changes: Vec<ViewChange>) -> RenewAnswer {
    RenewAnswer::Granted {
        lease: Duration::from_millis(2_200),
        update: ViewUpdate {
            version: 1,
            changes,
        },
    }
}

fn head(request: u64) -> RequestHead {
    RequestHead {
        request,
        service: "plans".to_owned(),
        key: None,
        order_key: None,
        is_safe_method: true,
        fingerprint: request,
        is_replayable: true,
        deadline: Some(DEADLINE),
        origin: RequestOrigin::Caller,
    }
}

fn view() -> Vec<ViewChange> {
    let policy = ServicePolicy {
        weight: 100,
        max_in_flight: 0,
        max_connections: 0,
        queue_limit: 64,
        rate_limit_per_s: 0,
        keyed: false,
        idempotent: true,
        deadline: DEADLINE,
        custody_lease: CustodyLease::Unlimited,
        zones: BTreeSet::from([ZONE.to_owned()]),
    };
    let mut table = Table {
        revision: 1,
        ..Table::default()
    };
    table.services.insert("plans".to_owned(), policy);
    let mut view = vec![ViewChange::TableInForce(table)];
    for index in 0..SERVERS {
        let server = format!("plans-{index}");
        view.push(ViewChange::ServerUpserted(ServerRecord {
            server: server.clone(),
            service: "plans".to_owned(),
            address: format!("{server}:80"),
            zone: ZONE.to_owned(),
            slots: SLOTS,
            connections: 100,
            incarnation: 1,
            checks_grants: true,
            draining: false,
        }));
        view.push(ViewChange::DispatcherAssigned {
            server,
            vm: Some("entry-1".to_owned()),
            epoch: 1 + index as u64,
        });
    }
    view
}

fn main() {
    println!("load  policy   offered/s  goodput/s  runs/s  goodput/capacity");
    for load in [0.7, 1.0, 1.5, 3.0] {
        let rate = CAPACITY_PER_S * load;
        print_row(load, "product", RequestPathSimulation::run(rate));
        print_row(load, "naive", NaiveSimulation::run(rate));
    }
}

fn print_row(load: f64, policy: &str, tally: Tally) {
    let span = RUN.saturating_sub(WARM_UP).as_secs_f64();
    let goodput = tally.goodput_per_s();
    println!(
        "{load:<5} {policy:<8} {:>9.0}  {goodput:>9.0}  {:>6.0}  {:>16.3}",
        as_f64(tally.offered) / span,
        as_f64(tally.runs) / span,
        goodput / CAPACITY_PER_S,
    );
}
