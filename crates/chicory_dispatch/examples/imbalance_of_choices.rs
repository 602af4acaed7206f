//! Compares the imbalance across servers of a choice of two with load hints and of a blind choice.
//!
//! The comparison runs in virtual time. Three entry processes of a zone receive a Poisson stream of
//! unkeyed requests for six servers with four slots. Each process dispatches to two of them, and a
//! relay takes 0.5 ms each way. Service times are exponential with a mean of 10 ms. In the second
//! part one server is three times as slow as the others. The blind choice sends each request to a
//! random server that queues without a limit.
//!
//! Run with `cargo run --release -p chicory_dispatch --example imbalance_of_choices`.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

use chicory_dispatch::{
    ConnectionId, Effect, Event, Outcome, RelayLoad, RequestHead, RequestIdEcho, RequestOrigin,
    RequestPath, RequestPathConfig,
};
use chicory_ownership::{EntryRecord, RenewAnswer, ServerRecord, ViewChange, ViewUpdate};
use chicory_table::{CustodyLease, ServicePolicy, Table};
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};

const VMS: usize = 3;
const SERVERS: usize = 6;
const SLOTS: usize = 4;
const MEAN_SERVICE: Duration = Duration::from_millis(10);
const HOP: Duration = Duration::from_micros(500);
const RUN: Duration = Duration::from_secs(40);
const WARM_UP: Duration = Duration::from_secs(10);
const ZONE: &str = "vake-hall";

/// Factor on the mean service time of each server.
type Slowness = [f64; SERVERS];

/// The results of one run.
struct Tally {
    completed: [u64; SERVERS],
    latencies: Vec<Duration>,
    refused: u64,
}

impl Tally {
    fn new() -> Self {
        Self {
            completed: [0; SERVERS],
            latencies: Vec::new(),
            refused: 0,
        }
    }

    fn done(&mut self, now: Duration, arrived_at: Duration, server: usize) {
        if arrived_at >= WARM_UP {
            self.completed[server] += 1;
            self.latencies.push(now.saturating_sub(arrived_at));
        }
    }

    fn print(mut self, load: f64, policy: &str) {
        self.latencies.sort_unstable();
        let at = |share: usize| {
            let index = self.latencies.len() * share / 1_000;
            self.latencies.get(index).copied().unwrap_or_default()
        };
        let most = self.completed.iter().max().copied().unwrap_or_default();
        let total: u64 = self.completed.iter().sum();
        println!(
            "{load:<5} {policy:<14} {:>8.3} {:>9.2?} {:>9.2?} {:>9.2?} {:>8}",
            as_f64(most) * 6.0 / as_f64(total.max(1)),
            at(500),
            at(990),
            at(999),
            self.refused,
        );
    }
}

fn as_f64(count: u64) -> f64 {
    f64::from(u32::try_from(count).unwrap_or(u32::MAX))
}

fn span(rng: &mut SmallRng, mean: Duration) -> Duration {
    let uniform: f64 = rng.random_range(f64::EPSILON..1.0);
    mean.mul_f64(-uniform.ln())
}

/// Simulates the blind choice: random servers, each with an unbounded queue.
fn run_blind(gap: Duration, slowness: &Slowness) -> Tally {
    let mut rng = SmallRng::seed_from_u64(5);
    let mut tally = Tally::new();
    let mut free_at = vec![VecDeque::from(vec![Duration::ZERO; SLOTS]); SERVERS];
    let mut now = Duration::ZERO;
    while now < RUN {
        now += span(&mut rng, gap);
        let server = rng.random_range(0..SERVERS);
        let slots = &mut free_at[server];
        slots.make_contiguous().sort_unstable();
        let start = slots.pop_front().unwrap_or_default().max(now);
        let end = start + span(&mut rng, MEAN_SERVICE.mul_f64(slowness[server]));
        slots.push_back(end);
        tally.done(end, now, server);
    }
    tally
}

/// The process and request from which a relayed request came.
#[derive(Clone, Copy)]
struct Origin {
    vm: usize,
    request: u64,
}

struct Zone {
    rng: SmallRng,
    slowness: Slowness,
    paths: Vec<RequestPath>,
    due: BTreeMap<(Duration, u64), (usize, Event)>,
    sequence: u64,
    next_request: u64,
    arrived: BTreeMap<(usize, u64), Duration>,
    origins: BTreeMap<(usize, u64), Origin>,
    served_by: BTreeMap<(usize, u64), usize>,
    connections: BTreeMap<(usize, ConnectionId), usize>,
    tally: Tally,
}

impl Zone {
    fn run(gap: Duration, slowness: &Slowness) -> Tally {
        let paths = (0..VMS).map(|vm| {
            let config = RequestPathConfig::builder(vm_name(vm), ZONE).seed(vm as u64);
            RequestPath::new(config.build(), Duration::ZERO)
        });
        let mut zone = Self {
            rng: SmallRng::seed_from_u64(5),
            slowness: *slowness,
            paths: paths.collect(),
            due: BTreeMap::new(),
            sequence: 0,
            next_request: 0,
            arrived: BTreeMap::new(),
            origins: BTreeMap::new(),
            served_by: BTreeMap::new(),
            connections: BTreeMap::new(),
            tally: Tally::new(),
        };
        for vm in 0..VMS {
            zone.feed(Duration::ZERO, vm, Event::Tick);
        }
        zone.simulate(gap);
        zone.tally
    }

    fn simulate(&mut self, gap: Duration) {
        let mut next_arrival = Duration::from_millis(20);
        loop {
            let wakes = self.paths.iter().enumerate();
            let wake = wakes.map(|(vm, path)| (path.next_wakeup(), vm)).min();
            let (wake, vm) = wake.unwrap_or((RUN, 0));
            let due = self.due.first_key_value().map_or(RUN, |((at, _), _)| *at);
            let now = wake.min(due).min(next_arrival);
            if now >= RUN {
                return;
            }
            if now == next_arrival {
                next_arrival = now + span(&mut self.rng, gap);
                self.arrive(now);
            } else if now == due {
                if let Some((_, (vm, event))) = self.due.pop_first() {
                    self.feed(now, vm, event);
                }
            } else {
                self.feed(now, vm, Event::Tick);
            }
        }
    }

    fn arrive(&mut self, now: Duration) {
        let vm = self.rng.random_range(0..VMS);
        let head = self.head(RequestOrigin::Caller);
        self.arrived.insert((vm, head.request), now);
        self.feed(now, vm, Event::RequestArrived(head));
    }

    fn head(&mut self, origin: RequestOrigin) -> RequestHead {
        self.next_request += 1;
        RequestHead {
            request: self.next_request,
            service: "plans".to_owned(),
            key: None,
            order_key: None,
            is_safe_method: true,
            fingerprint: self.next_request,
            is_replayable: true,
            deadline: None,
            origin,
        }
    }

    fn schedule(&mut self, at: Duration, vm: usize, event: Event) {
        self.sequence += 1;
        self.due.insert((at, self.sequence), (vm, event));
    }

    fn feed(&mut self, now: Duration, vm: usize, event: Event) {
        for effect in self.paths[vm].reduce(now, event) {
            self.carry_out(now, vm, effect);
        }
    }

    fn carry_out(&mut self, now: Duration, vm: usize, effect: Effect) {
        match effect {
            Effect::Renew { request, .. } => {
                let is_first = request.known_view == 0;
                let event = Event::RenewAnswered {
                    sent_at: now,
                    from: vm_name(0),
                    answer: granted(if is_first { view() } else { Vec::new() }),
                };
                self.schedule(now + HOP, vm, event);
            }
            Effect::Connect {
                connection, server, ..
            } => {
                let index = server.trim_start_matches("plans-").parse().unwrap_or(0);
                self.connections.insert((vm, connection), index);
                self.schedule(now + HOP, vm, Event::Connected { connection });
            }
            Effect::Write {
                request,
                connection,
                ..
            } => self.write(now, vm, request, connection),
            Effect::Relay {
                request, to, hops, ..
            } => self.relay(now, vm, request, &to, hops),
            Effect::ForwardAnswer { request, load } => self.forward(now, vm, request, load),
            Effect::Refuse { request, refusal } => {
                self.arrived.remove(&(vm, request));
                self.tally.refused += u64::from(now >= WARM_UP);
                if let Some(origin) = self.origins.remove(&(vm, request)) {
                    let event = Event::RelayAnswered {
                        request: origin.request,
                        outcome: refusal.outcome,
                        retry_after: refusal.retry_after,
                        load: RelayLoad::default(),
                    };
                    self.schedule(now + HOP, origin.vm, event);
                }
            }
            _ => {}
        }
    }

    fn write(&mut self, now: Duration, vm: usize, request: u64, connection: ConnectionId) {
        let server = self.connections[&(vm, connection)];
        self.served_by.insert((vm, request), server);
        let mean = MEAN_SERVICE.mul_f64(self.slowness[server]);
        let end = now + span(&mut self.rng, mean);
        let event = Event::AnswerStarted {
            request,
            status: 200,
            echo: RequestIdEcho::Matched,
            refusal: None,
        };
        self.schedule(end, vm, event);
    }

    fn relay(&mut self, now: Duration, vm: usize, request: u64, to: &str, hops: u8) {
        let target = (0..VMS).find(|other| vm_name(*other) == to).unwrap_or(0);
        let head = self.head(RequestOrigin::Relay {
            hops,
            from_zone: ZONE.to_owned(),
        });
        let origin = Origin { vm, request };
        self.origins.insert((target, head.request), origin);
        self.schedule(now + HOP, target, Event::RequestArrived(head));
    }

    fn forward(&mut self, now: Duration, vm: usize, request: u64, load: RelayLoad) {
        let Some(server) = self.served_by.remove(&(vm, request)) else {
            return self.schedule(now, vm, Event::RelayFinished { request });
        };
        let finished = Event::AnswerFinished {
            request,
            kept: None,
            is_reusable: true,
        };
        self.schedule(now, vm, finished);
        let (at, arrived_at) = match self.origins.remove(&(vm, request)) {
            None => (now, self.arrived.remove(&(vm, request))),
            Some(origin) => {
                let event = Event::RelayAnswered {
                    request: origin.request,
                    outcome: Outcome::Ran,
                    retry_after: None,
                    load,
                };
                self.schedule(now + HOP, origin.vm, event);
                let key = (origin.vm, origin.request);
                (now + HOP, self.arrived.remove(&key))
            }
        };
        if let Some(arrived_at) = arrived_at {
            self.tally.done(at, arrived_at, server);
        }
    }
}

fn vm_name(vm: usize) -> String {
    format!("entry-{vm}")
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

fn view() -> Vec<ViewChange> {
    let policy = ServicePolicy {
        weight: 100,
        max_in_flight: 0,
        max_connections: 0,
        queue_limit: 64,
        rate_limit_per_s: 0,
        keyed: false,
        idempotent: true,
        deadline: Duration::from_secs(2),
        custody_lease: CustodyLease::Unlimited,
        zones: BTreeSet::from([ZONE.to_owned()]),
    };
    let mut table = Table {
        revision: 1,
        ..Table::default()
    };
    table.services.insert("plans".to_owned(), policy);
    let entries = (0..VMS).map(|vm| EntryRecord {
        vm: vm_name(vm),
        incarnation: 1,
        peer_address: vm_name(vm),
        announce_address: vm_name(vm),
    });
    let mut view = vec![
        ViewChange::TableInForce(table),
        ViewChange::ZoneEntries {
            zone: ZONE.to_owned(),
            entries: entries.collect(),
        },
    ];
    for index in 0..SERVERS {
        let server = format!("plans-{index}");
        view.push(ViewChange::ServerUpserted(ServerRecord {
            server: server.clone(),
            service: "plans".to_owned(),
            address: format!("{server}:80"),
            zone: ZONE.to_owned(),
            slots: 4,
            connections: 100,
            incarnation: 1,
            checks_grants: true,
            draining: false,
        }));
        view.push(ViewChange::DispatcherAssigned {
            server,
            vm: Some(vm_name(index % VMS)),
            epoch: 1 + index as u64,
        });
    }
    view
}

fn main() {
    let capacity_per_s = 6.0 * 4.0 / MEAN_SERVICE.as_secs_f64();
    let even = [1.0; SERVERS];
    let one_slow = [3.0, 1.0, 1.0, 1.0, 1.0, 1.0];
    for (title, slowness) in [("even servers", even), ("one server slow", one_slow)] {
        println!("{title}");
        println!("load  choice         max/mean       p50       p99     p99.9  refused");
        for load in [0.5, 0.7, 0.8] {
            let gap = Duration::from_secs_f64(1.0 / (capacity_per_s * load));
            Zone::run(gap, &slowness).print(load, "two with hints");
            run_blind(gap, &slowness).print(load, "blind");
        }
    }
}
