//! Compares one dispatcher per server with all entry VMs sending to all servers, in virtual time.
//!
//! Eleven entry VMs receive a Poisson stream of keyed requests for twenty servers with three or
//! four slots; service times are exponential with a mean of 5 ms. A dispatcher queues for all slots
//! of its server, and costs most requests a hop of 0.5 ms each way. Without one, each VM sends to
//! the server on its own and keeps one request in flight per server. A request that finds no free
//! slot is either shed by the server, or queued by the server without regard to deadlines.
//!
//! Run with `cargo run --release -p chicory_dispatch --example dispatcher_or_all_to_all`.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};

const VMS: usize = 11;
const SERVERS: usize = 20;
const MEAN_SERVICE: Duration = Duration::from_millis(5);
const HOP: Duration = Duration::from_micros(500);
const QUEUE_LIMIT: usize = 32;
const RUN: Duration = Duration::from_mins(1);
/// Longest time that a caller waits.
const DEADLINE: Duration = Duration::from_millis(100);

/// Where requests wait for a slot.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Layout {
    /// At the server's only dispatcher, which refuses requests that can't be answered in time.
    Dispatcher,
    /// At each VM, with one request in flight per VM and server; the server sheds the rest.
    AllShedding,
    /// At each VM in the same way; the server queues requests that find no free slot.
    AllQueueing,
}

#[derive(Clone, Copy, Debug)]
struct Job {
    vm: usize,
    server: usize,
    arrived_at: Duration,
}

enum SimulationEvent {
    Arrive,
    ReachServer(Job),
    Done(Job),
}

struct Simulation {
    layout: Layout,
    slots: usize,
    rng: SmallRng,
    events: BTreeMap<(Duration, u64), SimulationEvent>,
    sequence: u64,
    running: Vec<usize>,
    /// Requests that wait at each server, or at its dispatcher.
    waiting: Vec<VecDeque<Job>>,
    /// Requests that wait at each VM for each server.
    queued_at_vm: Vec<Vec<VecDeque<Job>>>,
    /// Whether each VM has a request in flight at each server.
    is_in_flight: Vec<Vec<bool>>,
    latencies: Vec<Duration>,
    offered: usize,
    refused: usize,
    shed: usize,
    late: usize,
    most_connections: usize,
}

impl Simulation {
    fn new(layout: Layout, slots: usize) -> Self {
        Self {
            layout,
            slots,
            rng: SmallRng::seed_from_u64(3),
            events: BTreeMap::new(),
            sequence: 0,
            running: vec![0; SERVERS],
            waiting: vec![VecDeque::new(); SERVERS],
            queued_at_vm: vec![vec![VecDeque::new(); SERVERS]; VMS],
            is_in_flight: vec![vec![false; SERVERS]; VMS],
            latencies: Vec::new(),
            offered: 0,
            refused: 0,
            shed: 0,
            late: 0,
            most_connections: 0,
        }
    }

    fn span(&mut self, mean: Duration) -> Duration {
        let uniform: f64 = self.rng.random_range(f64::EPSILON..1.0);
        mean.mul_f64(-uniform.ln())
    }

    fn schedule(&mut self, at: Duration, event: SimulationEvent) {
        self.sequence += 1;
        self.events.insert((at, self.sequence), event);
    }

    fn run(mut self, gap: Duration) -> Self {
        self.schedule(Duration::ZERO, SimulationEvent::Arrive);
        while let Some(((now, _), event)) = self.events.pop_first() {
            if now >= RUN {
                break;
            }
            match event {
                SimulationEvent::Arrive => self.arrive(now, gap),
                SimulationEvent::ReachServer(job) => self.reach_server(now, job),
                SimulationEvent::Done(job) => self.done(now, job),
            }
        }
        self
    }

    fn arrive(&mut self, now: Duration, gap: Duration) {
        let job = Job {
            vm: self.rng.random_range(0..VMS),
            server: self.rng.random_range(0..SERVERS),
            arrived_at: now,
        };
        self.offered += 1;
        match self.layout {
            Layout::Dispatcher => {
                let is_own = job.server % VMS == job.vm;
                let delay = if is_own { Duration::ZERO } else { HOP };
                self.schedule(now + delay, SimulationEvent::ReachServer(job));
            }
            Layout::AllShedding | Layout::AllQueueing => {
                self.queued_at_vm[job.vm][job.server].push_back(job);
                self.send_next(now, job.vm, job.server);
            }
        }
        let next = now + self.span(gap);
        self.schedule(next, SimulationEvent::Arrive);
    }

    /// Sends the next request of a VM to a server, if it has none in flight there.
    fn send_next(&mut self, now: Duration, vm: usize, server: usize) {
        if self.is_in_flight[vm][server] {
            return;
        }
        if let Some(job) = self.queued_at_vm[vm][server].pop_front() {
            self.is_in_flight[vm][server] = true;
            self.schedule(now, SimulationEvent::ReachServer(job));
        }
    }

    fn reach_server(&mut self, now: Duration, job: Job) {
        let server = job.server;
        if self.running[server] < self.slots {
            return self.start(now, job);
        }
        match self.layout {
            Layout::Dispatcher => self.queue_or_refuse(now, job),
            Layout::AllQueueing => self.waiting[server].push_back(job),
            Layout::AllShedding => {
                self.shed += 1;
                self.is_in_flight[job.vm][server] = false;
                self.send_next(now, job.vm, server);
            }
        }
    }

    fn queue_or_refuse(&mut self, now: Duration, job: Job) {
        let ahead = self.waiting[job.server].len();
        let rounds = u32::try_from(ahead / self.slots + 1).unwrap_or(u32::MAX);
        let left = (job.arrived_at + DEADLINE).saturating_sub(now);
        if ahead >= QUEUE_LIMIT || MEAN_SERVICE * (rounds + 1) > left {
            self.refused += 1;
        } else {
            self.waiting[job.server].push_back(job);
        }
    }

    fn start(&mut self, now: Duration, job: Job) {
        self.running[job.server] += 1;
        let in_flight = self.is_in_flight.iter().filter(|vm| vm[job.server]).count();
        let in_use = in_flight.max(self.running[job.server]);
        self.most_connections = self.most_connections.max(in_use);
        let end = now + self.span(MEAN_SERVICE);
        self.schedule(end, SimulationEvent::Done(job));
    }

    fn done(&mut self, now: Duration, job: Job) {
        let server = job.server;
        self.running[server] -= 1;
        let back = if self.layout == Layout::Dispatcher && server % VMS != job.vm {
            HOP
        } else {
            Duration::ZERO
        };
        let latency = (now + back).saturating_sub(job.arrived_at);
        self.late += usize::from(latency > DEADLINE);
        self.latencies.push(latency);
        if let Some(next) = self.waiting[server].pop_front() {
            self.start(now, next);
        }
        if self.layout != Layout::Dispatcher {
            self.is_in_flight[job.vm][server] = false;
            self.send_next(now, job.vm, server);
        }
    }

    fn print(mut self, load: f64) {
        self.latencies.sort_unstable();
        let at = |share: usize| {
            let index = self.latencies.len() * share / 1_000;
            self.latencies.get(index).copied().unwrap_or_default()
        };
        let share = |count: usize| 100.0 * as_f64(count) / as_f64(self.offered);
        println!(
            "{:<5} {load:<5} {:<12} {:>8.2} {:>8.2} {:>8.2} {:>9.2?} {:>9.2?} {:>9.2?} {:>6}",
            self.slots,
            format!("{:?}", self.layout),
            share(self.refused),
            share(self.shed),
            share(self.late),
            at(500),
            at(990),
            at(999),
            self.most_connections,
        );
    }
}

fn as_f64(count: usize) -> f64 {
    f64::from(u32::try_from(count).unwrap_or(u32::MAX))
}

fn main() {
    println!(
        "slots load  layout        refused%    shed%    late%       p50       p99     p99.9  conns"
    );
    for slots in [3, 4] {
        for load in [0.5, 0.7, 0.9, 1.2] {
            let per_s = as_f64(SERVERS * slots) / MEAN_SERVICE.as_secs_f64() * load;
            let gap = Duration::from_secs_f64(1.0 / per_s);
            for layout in [Layout::Dispatcher, Layout::AllShedding, Layout::AllQueueing] {
                Simulation::new(layout, slots).run(gap).print(load);
            }
        }
    }
}
