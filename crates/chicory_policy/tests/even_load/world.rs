//! Entry VMs that choose among the servers of one service, in virtual time.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::time::Duration;

use crate::backend::Backend;
use crate::choice::{Choice, Options, Step};
use crate::entry::Entry;
use crate::load::Load;
use crate::measured::Measured;
use crate::random::Random;

/// Time of a request or an answer between an entry VM and a server.
const WAY_S: f64 = 0.000_5;
/// Time before which nothing is measured: shares and speeds are being learned.
const WARM_UP_S: f64 = 5.0;
/// Period and amplitude of the demand of each zone, which differ in phase.
const WAVE_PERIOD_S: f64 = 20.0;
const WAVE: f64 = 0.15;
/// Spread of the work of requests: the standard deviation of its logarithm.
const WORK_SPREAD: f64 = 0.8;
/// Interval of the leader's messages, and the bounds of their delay.
const SHARES_INTERVAL_S: f64 = 1.0;
const SHARES_DELAY_S: (f64, f64) = (0.05, 1.0);
/// Number of servers that a request is sent to at most.
const MAX_ATTEMPTS: usize = 2;

#[derive(Clone, Copy, Debug)]
enum Event {
    Demand {
        entry: usize,
    },
    Arrive {
        request: usize,
    },
    End {
        request: usize,
    },
    Answer {
        request: usize,
        total: u32,
        is_rejected: bool,
    },
    Plan,
    EndHold {
        request: usize,
    },
    Shares {
        entry: usize,
        plan: usize,
    },
}

#[derive(Clone, Debug)]
struct Request {
    entry: usize,
    server: usize,
    began_s: f64,
    sent_s: f64,
    work_s: f64,
    tried: Vec<usize>,
}

pub struct World {
    load: Load,
    random: Random,
    choice: Choice,
    servers: Vec<Backend>,
    entries: Vec<Entry>,
    rates: Vec<f64>,
    /// Phase of each zone's demand, from 0 to 1.
    phases: Vec<f64>,
    requests: Vec<Request>,
    events: BinaryHeap<Reverse<(u64, u64)>>,
    pending: BTreeMap<u64, Event>,
    sequence: u64,
    plans: Vec<Option<Vec<Vec<f64>>>>,
    demand: Vec<f64>,
    measured: Measured,
}

impl World {
    pub fn run(load: &Load, choice: Choice) -> Measured {
        let mut random = Random::new(load.seed);
        let servers: Vec<Backend> = (0..load.servers)
            .map(|index| {
                let speed = load.speeds[(index / load.zones) % load.speeds.len()];
                let zone = index % load.zones;
                Backend::new(
                    zone,
                    load.slots,
                    speed,
                    load.slow_share,
                    load.seconds,
                    &mut random,
                )
            })
            .collect();
        let capacity: f64 = servers
            .iter()
            .map(|server| {
                f64::from(server.slots) * server.mean_speed(load.slow_share) / load.work_s
            })
            .sum();
        let zone_weights: Vec<f64> = (0..load.zones).map(|_| random.between(0.8, 1.2)).collect();
        let weights: Vec<f64> = (0..load.entries)
            .map(|entry| zone_weights[entry % load.zones] * random.between(0.5, 1.5))
            .collect();
        let total: f64 = weights.iter().sum();
        let rates = weights
            .iter()
            .map(|weight| weight / total * capacity * load.share_of_capacity)
            .collect();
        let phases = (0..load.zones).map(|_| random.fraction()).collect();
        let estimates: Vec<f64> = servers
            .iter()
            .map(|server| server.speed * random.between(0.9, 1.1))
            .collect();
        let entries = (0..load.entries)
            .map(|entry| Entry::new(entry % load.zones, &estimates))
            .collect();
        let mut world = Self {
            load: load.clone(),
            random,
            choice,
            servers,
            entries,
            rates,
            phases,
            requests: Vec::new(),
            events: BinaryHeap::new(),
            pending: BTreeMap::new(),
            sequence: 0,
            plans: Vec::new(),
            demand: vec![0.0; load.entries],
            measured: Measured::default(),
        };
        for entry in 0..load.entries {
            world.schedule_demand(0.0, entry);
        }
        world.schedule(SHARES_INTERVAL_S, Event::Plan);
        world.run_events();
        world.measured
    }

    fn schedule(&mut self, at_s: f64, event: Event) {
        self.sequence += 1;
        self.pending.insert(self.sequence, event);
        self.events.push(Reverse((nanos(at_s), self.sequence)));
    }

    fn run_events(&mut self) {
        while let Some(Reverse((at_ns, id))) = self.events.pop() {
            let now_s = Duration::from_nanos(at_ns).as_secs_f64();
            if now_s > self.load.seconds {
                return;
            }
            let event = self.pending.remove(&id).expect("a scheduled event");
            self.handle(now_s, event);
        }
    }

    fn schedule_demand(&mut self, now_s: f64, entry: usize) {
        let zone = entry % self.load.zones;
        let phase = self.phases[zone];
        let wave = ((now_s / WAVE_PERIOD_S + phase) * std::f64::consts::TAU).sin();
        let rate = self.rates[entry] * (1.0 + WAVE * wave);
        let at_s = now_s + self.random.exponential(1.0 / rate);
        self.schedule(at_s, Event::Demand { entry });
    }

    fn handle(&mut self, now_s: f64, event: Event) {
        match event {
            Event::Demand { entry } => {
                self.schedule_demand(now_s, entry);
                self.entries[entry].demand += 1.0;
                let work_s = self.load.work_s * self.random.log_normal(WORK_SPREAD);
                self.requests.push(Request {
                    entry,
                    server: 0,
                    began_s: now_s,
                    sent_s: now_s,
                    work_s,
                    tried: Vec::new(),
                });
                self.send(now_s, self.requests.len() - 1);
            }
            Event::Arrive { request } => self.arrive(now_s, request),
            Event::End { request } => {
                let server = self.requests[request].server;
                let backend = &mut self.servers[server];
                backend.running -= 1;
                if let Some((next, work_s)) = backend.queue.pop_front() {
                    self.start(now_s, next, work_s);
                }
                self.answer(now_s, request, false);
            }
            Event::Answer {
                request,
                total,
                is_rejected,
            } => {
                let Request {
                    entry,
                    server,
                    sent_s,
                    began_s,
                    ..
                } = self.requests[request];
                let took_s = now_s - sent_s;
                let backend = &self.servers[server];
                self.entries[entry].record(now_s, took_s, total, backend, server, is_rejected);
                if let Some(held) = self.entries[entry].held.pop_front() {
                    self.send(now_s, held);
                }
                let is_measured = began_s >= WARM_UP_S;
                if is_rejected {
                    if self.requests[request].tried.len() < MAX_ATTEMPTS {
                        self.send(now_s, request);
                    }
                } else if is_measured {
                    self.measured.times_s.push(now_s - began_s);
                }
            }
            Event::EndHold { request } => {
                let held = &mut self.entries[self.requests[request].entry].held;
                if let Some(at) = held.iter().position(|r| *r == request) {
                    held.remove(at);
                    self.send(now_s, request);
                }
            }
            Event::Plan => {
                for (demand, entry) in self.demand.iter_mut().zip(&mut self.entries) {
                    let rate = std::mem::take(&mut entry.demand) / SHARES_INTERVAL_S;
                    let weight = if *demand == 0.0 { 1.0 } else { 0.2 };
                    *demand += weight * (rate - *demand);
                }
                self.plans
                    .push(self.choice.plan(&self.servers, &self.entries, &self.demand));
                for entry in 0..self.entries.len() {
                    let delay_s = self.random.between(SHARES_DELAY_S.0, SHARES_DELAY_S.1);
                    let plan = self.plans.len() - 1;
                    self.schedule(now_s + delay_s, Event::Shares { entry, plan });
                }
                self.schedule(now_s + SHARES_INTERVAL_S, Event::Plan);
            }
            Event::Shares { entry, plan } => {
                let Some(parts) = &self.plans[plan] else {
                    return;
                };
                for (known, slots) in self.entries[entry].servers.iter_mut().zip(&parts[entry]) {
                    known.own_slots = *slots;
                }
            }
        }
    }

    fn send(&mut self, now_s: f64, request: usize) {
        let Request { entry, began_s, .. } = self.requests[request];
        let tried = &self.requests[request].tried;
        let hold_s = self.choice.longest_hold_s(&self.entries[entry]);
        let options = Options {
            now_s,
            entry: &self.entries[entry],
            backends: &self.servers,
            open: (0..self.servers.len())
                .filter(|server| !tried.contains(server))
                .collect(),
            may_hold: tried.is_empty() && now_s + 1e-6 < began_s + hold_s,
        };
        let Step::Send(server) = self.choice.step(&options, &mut self.random) else {
            if now_s <= began_s {
                self.schedule(began_s + hold_s, Event::EndHold { request });
            }
            self.entries[entry].held.push_back(request);
            return;
        };
        self.entries[entry].servers[server].in_flight += 1;
        let sent = &mut self.requests[request];
        sent.server = server;
        sent.sent_s = now_s;
        sent.tried.push(server);
        self.schedule(now_s + WAY_S, Event::Arrive { request });
    }

    fn arrive(&mut self, now_s: f64, request: usize) {
        let Request { server, work_s, .. } = self.requests[request];
        let is_full = self.servers[server].is_full();
        if now_s >= WARM_UP_S {
            let has_free = self.servers.iter().any(|server| !server.is_full());
            self.measured.arrived += 1;
            self.measured.avoidably_full += u32::from(is_full && has_free);
            self.measured.rejected += u32::from(self.servers[server].is_rejecting());
        }
        if self.servers[server].is_rejecting() {
            self.answer(now_s, request, true);
        } else if is_full {
            self.servers[server].queue.push_back((request, work_s));
        } else {
            self.start(now_s, request, work_s);
        }
    }

    fn start(&mut self, now_s: f64, request: usize, work_s: f64) {
        let server = &mut self.servers[self.requests[request].server];
        server.running += 1;
        let end_s = server.end_of(now_s, work_s);
        self.schedule(end_s, Event::End { request });
    }

    fn answer(&mut self, now_s: f64, request: usize, is_rejected: bool) {
        let total = self.servers[self.requests[request].server].total();
        let event = Event::Answer {
            request,
            total,
            is_rejected,
        };
        self.schedule(now_s + WAY_S, event);
    }
}

fn nanos(seconds: f64) -> u64 {
    let nanos = Duration::from_secs_f64(seconds).as_nanos();
    u64::try_from(nanos).expect("a short time")
}
