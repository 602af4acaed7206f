//! The choices that are compared.

use std::time::Duration;

use chicory_policy::{LineSender, LineServer, SlotCandidate, SlotChoice, SlotLine, SlotStep};

use crate::backend::Backend;
use crate::entry::{Entry, KnownServer};
use crate::random::Random;

/// Time after which half of a statement counts, for the choices that discount statements by age.
const AGE_S: f64 = 0.1;
/// Share of the slots that is assumed to be taken where nothing is known.
const USUAL_LOAD: f64 = 0.6;

/// A way to choose a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Choice {
    /// The least own latency × own requests in flight, as before.
    OwnLatency,
    Uniform,
    BySpeed,
    /// The one of two random servers with fewer requests, as if all queues were known.
    TwoTrueQueues,
    /// At random by speed × free slots as stated.
    FreeSlots,
    /// The least wait by stated load, discounted by age.
    ExpectedWait,
    /// Own slots of whole servers, then the least expected wait.
    AdjacentSlots,
    /// [`SlotLine`] and [`SlotChoice`].
    OwnSlots,
}

/// What an entry VM does with a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step {
    Send(usize),
    /// The request waits for an own slot, for as long as the choice allows.
    Hold,
}

/// A choice among the servers that a request was not sent to before.
pub struct Options<'a> {
    pub now_s: f64,
    pub entry: &'a Entry,
    pub backends: &'a [Backend],
    pub open: Vec<usize>,
    pub may_hold: bool,
}

impl Choice {
    pub const ALL: [Self; 8] = [
        Self::OwnLatency,
        Self::Uniform,
        Self::BySpeed,
        Self::TwoTrueQueues,
        Self::FreeSlots,
        Self::ExpectedWait,
        Self::AdjacentSlots,
        Self::OwnSlots,
    ];

    /// Returns the part of each entry VM at each server, if the choice uses parts.
    pub fn plan(
        self,
        backends: &[Backend],
        entries: &[Entry],
        demand: &[f64],
    ) -> Option<Vec<Vec<f64>>> {
        let zone_of = |index: usize, zone: usize| match self {
            Self::OwnSlots => Some(zone.to_string()),
            // Slots are adjacent within a zone, so each server is a zone of its own.
            Self::AdjacentSlots => Some(format!("{zone}-{index:03}")),
            _ => None,
        };
        let servers = backends.iter().zip(&entries[0].servers).enumerate();
        let servers = servers.map(|(id, (backend, known))| {
            Some(LineServer {
                id,
                zone: zone_of(id, backend.zone)?,
                slots: backend.slots,
                speed: known.speed,
            })
        });
        let line = SlotLine::new(servers.collect::<Option<Vec<_>>>()?);
        let senders = entries
            .iter()
            .zip(demand)
            .map(|(entry, demand)| LineSender {
                zone: entry.zone.to_string(),
                demand: *demand,
            });
        let parts = line.parts(&senders.collect::<Vec<_>>());
        let rows = parts.into_iter().map(|part| {
            let mut row = vec![0.0; backends.len()];
            for (server, slots) in part {
                row[server] = slots;
            }
            row
        });
        Some(rows.collect())
    }

    pub fn longest_hold_s(self, entry: &Entry) -> f64 {
        if self == Self::OwnSlots {
            SlotChoice::<usize>::longest_wait(entry.typical()).as_secs_f64()
        } else {
            0.0
        }
    }

    pub fn step(self, options: &Options<'_>, random: &mut Random) -> Step {
        let entry = options.entry;
        let capacity =
            |server: usize| f64::from(options.backends[server].slots) * entry.servers[server].speed;
        let by_capacity: Vec<f64> = options
            .open
            .iter()
            .map(|server| capacity(*server))
            .collect();
        match self {
            Self::OwnLatency => Step::Send(options.least_own_latency(random)),
            Self::Uniform => {
                Step::Send(options.open[random.weighted(&vec![1.0; options.open.len()])])
            }
            Self::BySpeed => Step::Send(options.open[random.weighted(&by_capacity)]),
            Self::TwoTrueQueues => {
                let two = [(); 2].map(|()| options.open[random.weighted(&by_capacity)]);
                let shorter = two
                    .into_iter()
                    .min_by_key(|server| options.backends[*server].total());
                Step::Send(shorter.expect("two servers"))
            }
            Self::FreeSlots => {
                let weights = options.open.iter().map(|server| {
                    let free = f64::from(options.backends[*server].slots)
                        - options.expected_total(*server);
                    entry.servers[*server].speed * free.max(0.05)
                });
                Step::Send(options.open[random.weighted(&weights.collect::<Vec<_>>())])
            }
            Self::ExpectedWait => Step::Send(options.least_wait(random)),
            Self::AdjacentSlots => {
                let has_room = |server: &&usize| {
                    let known = &entry.servers[**server];
                    f64::from(known.in_flight) + 0.5 <= known.own_slots
                };
                let speed = |server: usize| entry.servers[server].speed;
                let own = options.open.iter().filter(has_room).copied();
                let own = own.max_by(|one, other| speed(*one).total_cmp(&speed(*other)));
                Step::Send(own.unwrap_or_else(|| options.least_wait(random)))
            }
            Self::OwnSlots => options.slot_choice(random),
        }
    }
}

impl Options<'_> {
    fn known(&self, server: usize) -> &KnownServer {
        &self.entry.servers[server]
    }

    fn least_own_latency(&self, random: &mut Random) -> usize {
        let typical_s = self.entry.typical().as_secs_f64();
        self.least(random, |server| {
            let known = self.known(server);
            let load = f64::from(known.in_flight + 1) / f64::from(self.backends[server].slots);
            known.latency_s.unwrap_or(typical_s) * (0.5 + load) * (1.0 + 6.0 * known.failure_rate)
        })
    }

    fn least_wait(&self, random: &mut Random) -> usize {
        self.least(random, |server| {
            let capacity = f64::from(self.backends[server].slots) * self.known(server).speed;
            (self.expected_total(server) + 1.0) / capacity
        })
    }

    fn least(&self, random: &mut Random, cost: impl Fn(usize) -> f64) -> usize {
        let costs = self.open.iter().map(|server| {
            let is_paused = self.now_s < self.known(*server).paused_until_s;
            (is_paused, cost(*server) * random.between(0.9, 1.1), *server)
        });
        let least = costs.min_by(|one, other| one.0.cmp(&other.0).then(one.1.total_cmp(&other.1)));
        least.expect("an open server").2
    }

    fn expected_total(&self, server: usize) -> f64 {
        let known = self.known(server);
        let usual = USUAL_LOAD * f64::from(self.backends[server].slots);
        let others = known.occupancy.map_or(usual, |occupancy| {
            let age_s = self.now_s - occupancy.at.as_secs_f64();
            let weight = (-age_s / AGE_S).exp();
            weight * f64::from(occupancy.others) + (1.0 - weight) * usual
        });
        others + f64::from(known.in_flight)
    }

    fn slot_choice(&self, random: &mut Random) -> Step {
        let now = Duration::from_secs_f64(self.now_s);
        let entry = self.entry;
        let mut choice = SlotChoice::default();
        for &server in &self.open {
            let known = self.known(server);
            if self.now_s < known.paused_until_s {
                continue;
            }
            let slots = self.backends[server].slots;
            let full_probability = known.occupancy.map_or(entry.full_share, |occupancy| {
                let counts = (known.in_flight, slots);
                occupancy.full_probability(now, counts, entry.typical(), entry.full_share)
            });
            let candidate = SlotCandidate {
                own_slots: known.own_slots,
                slots,
                in_flight: known.in_flight,
                speed: known.speed,
                full_probability,
            };
            choice.consider(server, &candidate, [random.fraction(), random.fraction()]);
        }
        match choice.step() {
            Some(SlotStep::AwaitOwn(_)) if self.may_hold => Step::Hold,
            Some(SlotStep::Own(server) | SlotStep::Beyond(server) | SlotStep::AwaitOwn(server)) => {
                Step::Send(server)
            }
            None => Step::Send(self.open[0]),
        }
    }
}
