//! One dispatcher per server against every entry VM talking to every server, in virtual time.
//!
//! Eleven entry VMs take a Poisson stream of keyed requests for twenty servers with three or four
//! slots; service times are exponential with a mean of 5 ms. A dispatcher queues for all slots of its
//! server and costs most requests a hop of 0.5 ms each way. Without one, each VM has its own share of
//! the server: either it keeps one request in flight per server and the server sheds what finds no
//! slot, or the server queues what finds none, out of the sight of any deadline.
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
/// Longest a caller waits.
const DEADLINE: Duration = Duration::from_millis(100);

/// Where requests wait for a slot.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Layout {
    /// At the server's only dispatcher, which refuses what can't end in time.
    Dispatcher,
    /// At each VM, with one request in flight per VM and server; the server sheds.
    AllShedding,
    /// At each VM in the same way; the server queues what finds no slot.
    AllQueueing,
}

#[derive(Clone, Copy, Debug)]
struct Job {
    vm: usize,
    server: usize,
    arrived_at: Duration,
}

enum Happening {
    Arrive,
    Reach(Job),
    Done(Job),
}

struct Bench {
    layout: Layout,
    slots: usize,
    rng: SmallRng,
    agenda: BTreeMap<(Duration, u64), Happening>,
    sequence: u64,
    running: Vec<usize>,
    /// Waiting at the server, or at its dispatcher.
    waiting: Vec<VecDeque<Job>>,
    /// Waiting at each VM for each server, and whether one is under way.
    held: Vec<Vec<VecDeque<Job>>>,
    is_out: Vec<Vec<bool>>,
    latencies: Vec<Duration>,
    offered: usize,
    refused: usize,
    shed: usize,
    late: usize,
    most_connections: usize,
}

impl Bench {
    fn new(layout: Layout, slots: usize) -> Self {
        Self {
            layout,
            slots,
            rng: SmallRng::seed_from_u64(3),
            agenda: BTreeMap::new(),
            sequence: 0,
            running: vec![0; SERVERS],
            waiting: vec![VecDeque::new(); SERVERS],
            held: vec![vec![VecDeque::new(); SERVERS]; VMS],
            is_out: vec![vec![false; SERVERS]; VMS],
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

    fn at(&mut self, at: Duration, happening: Happening) {
        self.sequence += 1;
        self.agenda.insert((at, self.sequence), happening);
    }

    fn run(mut self, gap: Duration) -> Self {
        self.at(Duration::ZERO, Happening::Arrive);
        while let Some(((now, _), happening)) = self.agenda.pop_first() {
            if now >= RUN {
                break;
            }
            match happening {
                Happening::Arrive => self.arrive(now, gap),
                Happening::Reach(job) => self.reach(now, job),
                Happening::Done(job) => self.done(now, job),
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
                self.at(now + delay, Happening::Reach(job));
            }
            Layout::AllShedding | Layout::AllQueueing => {
                self.held[job.vm][job.server].push_back(job);
                self.let_out(now, job.vm, job.server);
            }
        }
        let next = now + self.span(gap);
        self.at(next, Happening::Arrive);
    }

    /// Sends the next request of a VM to a server, if none is under way there.
    fn let_out(&mut self, now: Duration, vm: usize, server: usize) {
        if self.is_out[vm][server] {
            return;
        }
        if let Some(job) = self.held[vm][server].pop_front() {
            self.is_out[vm][server] = true;
            self.at(now, Happening::Reach(job));
        }
    }

    fn reach(&mut self, now: Duration, job: Job) {
        let server = job.server;
        if self.running[server] < self.slots {
            return self.start(now, job);
        }
        match self.layout {
            Layout::Dispatcher => self.queue_or_refuse(now, job),
            Layout::AllQueueing => self.waiting[server].push_back(job),
            Layout::AllShedding => {
                self.shed += 1;
                self.is_out[job.vm][server] = false;
                self.let_out(now, job.vm, server);
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
        let out = self.is_out.iter().filter(|vm| vm[job.server]).count();
        let in_use = out.max(self.running[job.server]);
        self.most_connections = self.most_connections.max(in_use);
        let end = now + self.span(MEAN_SERVICE);
        self.at(end, Happening::Done(job));
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
            self.is_out[job.vm][server] = false;
            self.let_out(now, job.vm, server);
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
                Bench::new(layout, slots).run(gap).print(load);
            }
        }
    }
}
