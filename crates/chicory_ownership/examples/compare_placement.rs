//! Replays the recorded heat traces with each placement policy. Prints how even the load was, how
//! many slots were moved and how long slots had no owner.

mod placement_trace;

use std::collections::BTreeMap;
use std::path::Path;
use std::time::Duration;

use chicory_ownership::{
    COLD_START_RAMP, HeatMap, PlacementInput, PlacementKind, PlacementServer, REBALANCE_INTERVAL,
    RenewRequest, ServerCondition, ServerReport, SlotHeat, SlotPlace,
};
use chicory_types::SlotRun;
use placement_trace::{Trace, TraceEvent};
use xxhash_rust::xxh3::xxh3_64;

/// Seconds from the release of a slot to its next assignment: the server's lease has to expire and
/// the release has to be reported.
const MOVE_S: u32 = 2;
/// Seconds from the loss of a server to the next assignment of its slots.
const LOSS_S: u32 = 3;

fn main() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../traces/placement");
    println!(
        "| trace | policy | max/mean | p99 of max/mean | p99/mean | moved per change | moved | unowned slot s | requests unserved |"
    );
    println!("|---|---|---|---|---|---|---|---|---|");
    for name in ["heredia-archive", "mtkvari-board"] {
        let text = std::fs::read_to_string(root.join(format!("{name}.trace")));
        let Some(trace) = text.ok().and_then(|text| Trace::parse(&text)) else {
            eprintln!("trace {name} is missing or malformed");
            continue;
        };
        for kind in [
            PlacementKind::Rendezvous,
            PlacementKind::Greedy,
            PlacementKind::MinMax,
        ] {
            let mut replay = Replay::new(&trace, kind);
            replay.run(&trace);
            replay.print(name, kind, trace.changes());
        }
    }
}

struct Server {
    name: String,
    joined_s: u32,
}

struct Replay {
    kind: PlacementKind,
    policy: Box<dyn chicory_ownership::PlacementPolicy>,
    servers: Vec<Server>,
    /// Name of the owner of each slot.
    owners: Vec<Option<String>>,
    /// Time from which a slot without an owner may be placed.
    free_at_s: Vec<u32>,
    base: f64,
    hot: BTreeMap<u16, f64>,
    heat: HeatMap,
    max_to_mean: Vec<f64>,
    relative_loads: Vec<f64>,
    moved: u64,
    unowned_slot_s: u64,
    unserved: f64,
    requests: f64,
}

impl Replay {
    fn new(trace: &Trace, kind: PlacementKind) -> Self {
        let slots = usize::from(trace.slots);
        Self {
            kind,
            policy: kind.build(),
            servers: Vec::new(),
            owners: vec![None; slots],
            free_at_s: vec![0; slots],
            base: 0.0,
            hot: BTreeMap::new(),
            heat: HeatMap::default(),
            max_to_mean: Vec::new(),
            relative_loads: Vec::new(),
            moved: 0,
            unowned_slot_s: 0,
            unserved: 0.0,
            requests: 0.0,
        }
    }

    fn run(&mut self, trace: &Trace) {
        for now_s in 0..trace.end_s {
            for (_, event) in trace.events.iter().filter(|(at_s, _)| *at_s == now_s) {
                self.apply_event(now_s, event);
            }
            self.place(now_s);
            self.report(now_s);
            self.measure();
        }
    }

    fn apply_event(&mut self, now_s: u32, event: &TraceEvent) {
        match event {
            TraceEvent::Join(name) => self.servers.push(Server {
                name: name.clone(),
                joined_s: now_s,
            }),
            TraceEvent::Leave(name) => self.remove_server(now_s, name),
            TraceEvent::Base(rate) => self.base = *rate,
            TraceEvent::Hot(slot, rate) => {
                self.hot.insert(*slot, *rate);
            }
        }
    }

    fn remove_server(&mut self, now_s: u32, name: &str) {
        self.servers.retain(|server| server.name != name);
        for (owner, free_at_s) in self.owners.iter_mut().zip(&mut self.free_at_s) {
            if owner.as_deref() == Some(name) {
                *owner = None;
                *free_at_s = now_s + LOSS_S;
            }
        }
    }

    fn place(&mut self, now_s: u32) {
        let servers: Vec<PlacementServer> = self
            .servers
            .iter()
            .map(|server| PlacementServer {
                name_hash: xxh3_64(server.name.as_bytes()),
                weight: 100.0,
                warmup_factor: warmup_factor(now_s, server.joined_s),
            })
            .collect();
        let places = self.places(now_s);
        let loads = self.heat.loads();
        let input = PlacementInput {
            now: Duration::from_secs(u64::from(now_s)),
            servers: &servers,
            places: &places,
            loads: &loads[..self.owners.len()],
        };
        let has_free = places.contains(&SlotPlace::Free);
        let is_due = u64::from(now_s) % REBALANCE_INTERVAL.as_secs() == 0;
        if has_free {
            let plan = self.policy.place(&input);
            for assignment in plan.assign {
                let name = self.servers[usize::from(assignment.server)].name.clone();
                self.owners[usize::from(assignment.slot)] = Some(name);
            }
        } else if is_due {
            let plan = self.policy.rebalance(&input);
            self.moved += plan.release.len() as u64;
            for slot in plan.release {
                self.owners[usize::from(slot)] = None;
                self.free_at_s[usize::from(slot)] = now_s + MOVE_S;
            }
        }
    }

    fn places(&self, now_s: u32) -> Vec<SlotPlace> {
        let index: BTreeMap<&str, u16> = (0..)
            .zip(&self.servers)
            .map(|(index, server)| (server.name.as_str(), index))
            .collect();
        let slots = self.owners.iter().zip(&self.free_at_s);
        slots
            .map(|(owner, free_at_s)| match owner {
                Some(name) => SlotPlace::Owned(index[name.as_str()]),
                None if *free_at_s <= now_s => SlotPlace::Free,
                None => SlotPlace::Fixed,
            })
            .collect()
    }

    /// Returns the requests per second on a slot.
    fn rate(&self, slot: u16) -> f64 {
        let hot = self.hot.get(&slot).copied().unwrap_or(0.0);
        hot + self.base / to_f64(self.owners.len())
    }

    /// Adds the dispatchers' reports of this second to the heat map.
    fn report(&mut self, now_s: u32) {
        let mut runs: BTreeMap<String, Vec<u16>> = BTreeMap::new();
        for (slot, owner) in (0_u16..).zip(&self.owners) {
            if let Some(name) = owner {
                runs.entry(name.clone()).or_default().push(slot);
            }
        }
        for (name, slots) in runs {
            let total: f64 = slots.iter().map(|slot| self.rate(*slot)).sum();
            let mut hottest = slots.clone();
            hottest.sort_by(|a, b| self.rate(*b).total_cmp(&self.rate(*a)));
            hottest.truncate(RenewRequest::MAX_REPORTED_SLOTS);
            let report = ServerReport {
                server: name,
                incarnation: 1,
                condition: ServerCondition::Up,
                requests: to_count(total),
                hottest_slots: hottest
                    .iter()
                    .map(|slot| SlotHeat {
                        slot: *slot,
                        requests: to_count(self.rate(*slot)),
                    })
                    .collect(),
            };
            let now = Duration::from_secs(u64::from(now_s));
            self.heat
                .on_report(now, &report, &SlotRun::from_slots(slots));
        }
    }

    fn measure(&mut self) {
        let mut loads: BTreeMap<&str, f64> = self
            .servers
            .iter()
            .map(|server| (server.name.as_str(), 0.0))
            .collect();
        let mut unserved = 0.0;
        let mut unowned = 0;
        for (slot, owner) in (0_u16..).zip(&self.owners) {
            let rate = self.rate(slot);
            if let Some(name) = owner {
                *loads.entry(name).or_default() += rate;
            } else {
                unserved += rate;
                unowned += 1;
            }
        }
        let mut loads: Vec<f64> = loads.into_values().collect();
        loads.sort_by(f64::total_cmp);
        let mean = loads.iter().sum::<f64>() / to_f64(loads.len());
        self.max_to_mean.push(loads[loads.len() - 1] / mean);
        self.relative_loads
            .extend(loads.iter().map(|load| load / mean));
        self.requests += loads.iter().sum::<f64>() + unserved;
        self.unserved += unserved;
        self.unowned_slot_s += unowned;
    }

    fn print(&self, name: &str, kind: PlacementKind, changes: usize) {
        let mean = self.max_to_mean.iter().sum::<f64>() / to_f64(self.max_to_mean.len());
        println!(
            "| {name} | {kind:?} | {mean:.2} | {:.2} | {:.2} | {:.0} | {} | {} | {:.3} % |",
            percentile(&self.max_to_mean, 0.99),
            percentile(&self.relative_loads, 0.99),
            to_f64(usize::try_from(self.moved).unwrap_or(usize::MAX)) / to_f64(changes),
            self.moved,
            self.unowned_slot_s,
            100.0 * self.unserved / self.requests,
        );
        debug_assert_eq!(self.kind, kind);
    }
}

fn warmup_factor(now_s: u32, joined_s: u32) -> f64 {
    let age = f64::from(now_s - joined_s) / COLD_START_RAMP.as_secs_f64();
    if joined_s == 0 {
        1.0
    } else {
        (0.1 + 0.9 * age).min(1.0)
    }
}

fn percentile(values: &[f64], share: f64) -> f64 {
    let mut sorted = values.to_vec();
    sorted.sort_by(f64::total_cmp);
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "a rank is a small positive number"
    )]
    let rank = (to_f64(sorted.len()) * share) as usize;
    sorted[rank.min(sorted.len() - 1)]
}

fn to_f64(count: usize) -> f64 {
    #[expect(clippy::cast_precision_loss, reason = "counts are small")]
    let number = count as f64;
    number
}

fn to_count(rate: f64) -> u32 {
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "rates are small and positive"
    )]
    let count = rate.round() as u32;
    count
}
