//! A service whose keys have owners, its entry VMs and its callers, in virtual time.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use chicory_policy::{AdmittedFractions, ObservedAnswers, OwnerAdmission, OwnerSlots, RetryAfter};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

use crate::event_queue::EventQueue;
use crate::load::{Admission, Load, Outcome, Worth};

/// Relative speeds of the owners, which no one knows beforehand.
const SPEEDS: [f64; 8] = [0.5, 1.0, 1.0, 1.5, 0.5, 1.0, 1.0, 1.5];
const SLOTS: u32 = 3;
/// Requests that an owner queues before it rejects more.
const QUEUE_LIMIT: usize = 12;
/// Demand for owners of keys that are not hot, as a multiple of what they can answer.
const CALM_DEMAND: f64 = 0.5;
const DAY_S: f64 = 40.0;
const HOT_SPELL_S: f64 = 5.0;
const REPORT_INTERVAL_S: f64 = 0.35;
const MAX_REPORT_DELAY_S: f64 = 0.3;
const MAX_MESSAGE_DELAY_S: f64 = 0.05;
const ONE_WAY_S: f64 = 0.002;
/// Spread of the work of a request, of its logarithm.
const WORK_SPREAD: f64 = 0.8;
const SLOW_TIME_S: f64 = 0.4;
const MEAN_TIME_BETWEEN_SLOW_S: f64 = 3.0;
const SLOW_FACTOR: f64 = 3.0;
/// Part of the callers that repeat a refused request at once, and how often.
const HASTY_CALLERS: f64 = 0.15;
const HASTY_REPEATS: u32 = 5;
const HASTY_PAUSE_S: f64 = 0.02;
const REPEATS: u32 = 2;
const RETRY_AFTER_SHED: Duration = Duration::from_millis(600);
const RETRY_AFTER_ADMISSION: Duration = Duration::from_secs(3);

/// One try of a request.
#[derive(Clone, Copy, Debug)]
struct Try {
    origin: usize,
    owner: usize,
    entry: usize,
    began_at: f64,
    repeats: u32,
    /// Times that the entry VM has sent it.
    sends: u32,
}

/// A caller's request with all its tries.
#[derive(Clone, Copy, Debug)]
struct Origin {
    began_at: f64,
    is_hot: bool,
    is_hasty: bool,
    /// Work relative to the mean.
    work: f64,
    worth_by_try: f64,
    worth_by_caller: f64,
}

#[derive(Clone, Debug)]
enum Event {
    Source(usize),
    HotChange(usize),
    Arrival(Try),
    /// A try and when the entry VM sent it.
    AtServer(Try, f64),
    Answered(Try, f64),
    ReportDue(usize),
    Reported(usize, BTreeMap<usize, (u32, ObservedAnswers)>),
    LeaderTick,
    FractionsReceived(usize, BTreeMap<usize, f64>),
}

#[derive(Debug)]
struct Server {
    running: u32,
    queue: VecDeque<(Try, f64)>,
    slow_from_s: f64,
    slow_until_s: f64,
    rng: StdRng,
}

#[derive(Clone, Debug, Default)]
struct Entry {
    counts: BTreeMap<usize, (u32, ObservedAnswers)>,
    in_flight: BTreeMap<usize, u32>,
    fractions: AdmittedFractions<usize>,
}

#[derive(Clone, Copy, Debug, Default)]
struct Counts {
    hot_tries: u32,
    refused_with_room: u32,
    sent_too_late: u32,
    sent: f64,
    resent: f64,
}

pub struct World {
    load: Load,
    admission: Admission,
    rng: StdRng,
    sources: Vec<StdRng>,
    now: f64,
    events: EventQueue<Event>,
    servers: Vec<Server>,
    entries: Vec<Entry>,
    leader: OwnerAdmission<usize, usize>,
    origins: Vec<Origin>,
    hot_owner: usize,
    counts: Counts,
}

impl World {
    /// Plays a day and returns what callers got.
    pub fn play(load: Load, admission: Admission) -> Outcome {
        let rng = |stream: u64| StdRng::seed_from_u64(load.seed * 1000 + stream);
        let owners = 0..SPEEDS.len() as u64;
        let server = |owner: u64| Server {
            running: 0,
            queue: VecDeque::new(),
            slow_from_s: if owner % 2 == 1 { 0.0 } else { f64::INFINITY },
            slow_until_s: 0.0,
            rng: rng(200 + owner),
        };
        let mut world = Self {
            load,
            admission,
            rng: rng(0),
            sources: owners.clone().map(|owner| rng(100 + owner)).collect(),
            now: 0.0,
            events: EventQueue::default(),
            servers: owners.map(server).collect(),
            entries: vec![Entry::default(); load.entry_count],
            leader: OwnerAdmission::new(Duration::from_secs_f64(REPORT_INTERVAL_S)),
            origins: Vec::new(),
            hot_owner: 0,
            counts: Counts::default(),
        };
        world.schedule_day();
        while let Some((at, event)) = world.events.pop() {
            if at > DAY_S + load.wait_s {
                break;
            }
            world.now = at;
            world.handle(event);
        }
        world.outcome()
    }

    fn outcome(&self) -> Outcome {
        let (on_time, _) = self.load.worth;
        let mean = |is_counted: fn(&Origin) -> bool, worth: fn(&Origin) -> f64| {
            let counted = self.origins.iter().filter(|origin| is_counted(origin));
            let worths: Vec<f64> = counted.map(worth).collect();
            worths.iter().sum::<f64>() / worths.len().max(1) as f64 / on_time
        };
        let worth = |of: fn(&Origin) -> f64| Worth {
            hot: mean(|origin| origin.is_hot, of),
            all: mean(|_| true, of),
        };
        let tries = f64::from(self.counts.hot_tries.max(1));
        Outcome {
            worth_by_try: worth(|origin| origin.worth_by_try),
            worth_by_caller: worth(|origin| origin.worth_by_caller),
            refused_with_room: f64::from(self.counts.refused_with_room) / tries,
            sent_too_late: f64::from(self.counts.sent_too_late) / tries,
        }
    }

    fn schedule_day(&mut self) {
        for owner in 0..SPEEDS.len() {
            self.events.push(0.0, Event::Source(owner));
        }
        for entry in 0..self.load.entry_count {
            let at = self.chance() * REPORT_INTERVAL_S;
            self.events.push(at, Event::ReportDue(entry));
        }
        let mut owner = 0;
        let mut at = HOT_SPELL_S;
        while at < DAY_S {
            owner = (owner + 1) % SPEEDS.len();
            self.events.push(at, Event::HotChange(owner));
            at += HOT_SPELL_S;
        }
        self.events.push(REPORT_INTERVAL_S, Event::LeaderTick);
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Source(owner) => self.on_source(owner),
            Event::HotChange(owner) => self.hot_owner = owner,
            Event::Arrival(attempt) => self.on_arrival(attempt),
            Event::AtServer(attempt, sent_at) => self.on_server(attempt, sent_at),
            Event::Answered(attempt, sent_at) => self.on_answered(attempt, sent_at),
            Event::ReportDue(entry) => self.on_report_due(entry),
            Event::Reported(entry, counts) => self.on_reported(entry, counts),
            Event::LeaderTick => self.on_leader_tick(),
            Event::FractionsReceived(entry, fractions) => {
                let now = self.time();
                self.entries[entry].fractions.replace(now, fractions);
            }
        }
    }

    fn chance(&mut self) -> f64 {
        self.rng.random_range(0.0..1.0)
    }

    fn time(&self) -> Duration {
        Duration::from_secs_f64(self.now)
    }

    /// Mean time of work of a request at an owner that is not slow.
    fn mean_work_s(&self, owner: usize) -> f64 {
        self.load.work_s / SPEEDS[owner]
    }

    /// Time of work of a try. All tries of a request have the same work, whatever is decided about
    /// them, so that the same requests are compared.
    fn work_s(&mut self, attempt: &Try) -> f64 {
        let slow = if self.is_slow(attempt.owner) {
            SLOW_FACTOR
        } else {
            1.0
        };
        self.mean_work_s(attempt.owner) * self.origins[attempt.origin].work * slow
    }

    fn is_slow(&mut self, owner: usize) -> bool {
        let now = self.now;
        let server = &mut self.servers[owner];
        while now >= server.slow_from_s {
            let gap = exponential(&mut server.rng, MEAN_TIME_BETWEEN_SLOW_S);
            server.slow_until_s = server.slow_from_s + SLOW_TIME_S;
            server.slow_from_s = server.slow_until_s + gap;
        }
        now < server.slow_until_s
    }

    fn on_source(&mut self, owner: usize) {
        if self.now > DAY_S {
            return;
        }
        let is_hot = owner == self.hot_owner;
        let demand = if is_hot {
            self.load.hot_demand
        } else {
            CALM_DEMAND
        };
        let mean_gap = self.mean_work_s(owner) / f64::from(SLOTS) / demand;
        let rng = &mut self.sources[owner];
        let gap = exponential(rng, mean_gap);
        let is_hasty = rng.random_range(0.0..1.0) < HASTY_CALLERS;
        let work = relative_work(rng);
        self.events.push(self.now + gap, Event::Source(owner));
        self.origins.push(Origin {
            began_at: self.now,
            is_hot,
            is_hasty,
            work,
            worth_by_try: 0.0,
            worth_by_caller: 0.0,
        });
        let attempt = Try {
            origin: self.origins.len() - 1,
            owner,
            entry: 0,
            began_at: self.now,
            repeats: 0,
            sends: 0,
        };
        self.events.push(self.now, Event::Arrival(attempt));
    }

    fn on_arrival(&mut self, mut attempt: Try) {
        attempt.entry = self.rng.random_range(0..self.load.entry_count);
        let is_hot = attempt.owner == self.hot_owner;
        self.counts.hot_tries += u32::from(is_hot);
        self.entries[attempt.entry]
            .counts
            .entry(attempt.owner)
            .or_default()
            .0 += 1;
        let is_admitted = match self.admission {
            Admission::Everything => true,
            Admission::Fractions => {
                let (now, chance) = (self.time(), self.chance());
                let fractions = &mut self.entries[attempt.entry].fractions;
                fractions.try_admit(now, &attempt.owner, 0, chance)
            }
            Admission::KnownQueue => !self.is_too_late(attempt.owner),
        };
        if is_admitted {
            self.counts.sent += 1.0;
            self.counts.sent_too_late += u32::from(is_hot && self.is_too_late(attempt.owner));
            self.send(attempt, self.now);
            return;
        }
        let has_room = self.servers[attempt.owner].running < SLOTS;
        self.counts.refused_with_room += u32::from(is_hot && has_room);
        self.refuse(attempt, RETRY_AFTER_ADMISSION);
    }

    /// Whether a request that is sent now will wait too long to be answered within the target.
    fn is_too_late(&self, owner: usize) -> bool {
        let server = &self.servers[owner];
        if server.running < SLOTS {
            return false;
        }
        let waiting = (server.queue.len() + 1) as f64;
        let work_s = self.mean_work_s(owner);
        waiting / f64::from(SLOTS) * work_s + work_s > self.load.target_s
    }

    fn send(&mut self, attempt: Try, at: f64) {
        let entry = &mut self.entries[attempt.entry];
        *entry.in_flight.entry(attempt.owner).or_default() += 1;
        self.events
            .push(at + ONE_WAY_S, Event::AtServer(attempt, at));
    }

    fn on_server(&mut self, attempt: Try, sent_at: f64) {
        let server = &mut self.servers[attempt.owner];
        if server.running < SLOTS {
            server.running += 1;
            self.run(attempt, sent_at);
        } else if server.queue.len() < QUEUE_LIMIT {
            server.queue.push_back((attempt, sent_at));
        } else {
            self.on_rejected(attempt);
        }
    }

    fn run(&mut self, attempt: Try, sent_at: f64) {
        let ends_at = self.now + self.work_s(&attempt) + ONE_WAY_S;
        self.events.push(ends_at, Event::Answered(attempt, sent_at));
    }

    /// Sends a rejected try again within the retry budget of the entry VMs, or refuses it.
    fn on_rejected(&mut self, mut attempt: Try) {
        self.record_end(attempt);
        attempt.sends += 1;
        let allowed = 0.85 * (0.2 * self.counts.sent + 50.0);
        if attempt.sends < 3 && self.counts.resent + 1.0 <= allowed {
            self.counts.resent += 1.0;
            let at = self.now + 0.05 * f64::from(attempt.sends);
            self.send(attempt, at);
            return;
        }
        self.refuse(attempt, RETRY_AFTER_SHED);
    }

    fn refuse(&mut self, mut attempt: Try, retry_after: Duration) {
        let origin = self.origins[attempt.origin];
        let left = (origin.began_at + self.load.wait_s - self.now).max(0.0);
        let after = RetryAfter::new(retry_after).spread(self.chance());
        let after = after.within(Duration::from_secs_f64(left)).as_secs_f64();
        let (most, after) = if origin.is_hasty {
            (HASTY_REPEATS, HASTY_PAUSE_S)
        } else {
            (REPEATS, after)
        };
        attempt.repeats += 1;
        if attempt.repeats > most || left <= after {
            return;
        }
        attempt.sends = 0;
        attempt.began_at = self.now + after;
        self.events.push(attempt.began_at, Event::Arrival(attempt));
    }

    fn record_end(&mut self, attempt: Try) {
        let in_flight = &mut self.entries[attempt.entry].in_flight;
        *in_flight.entry(attempt.owner).or_default() -= 1;
    }

    fn on_answered(&mut self, attempt: Try, sent_at: f64) {
        if let Some((next, next_sent_at)) = self.servers[attempt.owner].queue.pop_front() {
            self.run(next, next_sent_at);
        } else {
            self.servers[attempt.owner].running -= 1;
        }
        self.record_end(attempt);
        let counts = &mut self.entries[attempt.entry].counts;
        let (_, answers) = counts.entry(attempt.owner).or_default();
        answers.answered += 1;
        answers.answer_time += Duration::from_secs_f64(self.now - sent_at);
        let origin = &mut self.origins[attempt.origin];
        if self.now > origin.began_at + self.load.wait_s {
            return;
        }
        let (on_time, late) = self.load.worth;
        let worth = |since: f64| {
            if self.now <= since + self.load.target_s {
                on_time
            } else {
                late
            }
        };
        origin.worth_by_try = worth(attempt.began_at);
        origin.worth_by_caller = worth(origin.began_at);
    }

    fn on_report_due(&mut self, entry: usize) {
        let state = &mut self.entries[entry];
        let mut counts = std::mem::take(&mut state.counts);
        for (owner, in_flight) in &state.in_flight {
            if *in_flight > 0 {
                let (_, answers) = counts.entry(*owner).or_default();
                answers.in_flight = *in_flight;
            }
        }
        let delay = self.chance() * MAX_REPORT_DELAY_S;
        self.events
            .push(self.now + delay, Event::Reported(entry, counts));
        self.events
            .push(self.now + REPORT_INTERVAL_S, Event::ReportDue(entry));
    }

    fn on_reported(&mut self, entry: usize, counts: BTreeMap<usize, (u32, ObservedAnswers)>) {
        let now = self.time();
        self.leader.record_report(now, &entry);
        for (owner, (requested, answers)) in counts {
            self.leader.record_requests(now, &owner, requested);
            self.leader.record_answers(now, &owner, answers);
        }
    }

    fn on_leader_tick(&mut self) {
        self.events
            .push(self.now + REPORT_INTERVAL_S, Event::LeaderTick);
        let slots = OwnerSlots {
            slots: SLOTS,
            latency_target: Duration::from_secs_f64(self.load.target_s),
        };
        let overloads = self.leader.update(self.time(), |_| Some(slots)).into_iter();
        let fractions: BTreeMap<usize, f64> = overloads
            .map(|(owner, overload)| (owner, overload.fraction))
            .collect();
        for entry in 0..self.load.entry_count {
            let at = self.now + ONE_WAY_S + self.chance() * MAX_MESSAGE_DELAY_S;
            self.events
                .push(at, Event::FractionsReceived(entry, fractions.clone()));
        }
    }
}

/// Draws log-normal work with a mean of one and a tail.
fn relative_work(rng: &mut StdRng) -> f64 {
    let mut chance = || 1.0 - rng.random_range(0.0..1.0_f64);
    let (one, two, three) = (chance(), chance(), chance());
    let normal = (-2.0 * one.ln()).sqrt() * (std::f64::consts::TAU * two).cos();
    let tail = if three < 0.01 { 3.0 } else { 1.0 };
    // The tail adds 2 % to the mean.
    (WORK_SPREAD * normal - WORK_SPREAD * WORK_SPREAD / 2.0).exp() * tail / 1.02
}

fn exponential(rng: &mut StdRng, mean: f64) -> f64 {
    -mean * (1.0 - rng.random_range(0.0..1.0_f64)).ln()
}
