//! Entry VMs, their callers and backend servers in virtual time.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use chicory_directory::RelayPeer;
use chicory_gateway::{Admission, AttemptOutcome, NextStep, ProbeResult, Refusal, RequestMetadata};
use chicory_ranges::ServerIncarnation;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

use crate::entry_vm::EntryVm;
use crate::plan::{CUT_AT, CutKind, HEALED_AT, Plan};
use crate::requests::{Attempt, DOWNLOADS, Ending, Exchange, ORDERS, READS, Record};
use crate::site::{directory, zone_name};

/// Time that a message takes between two VMs.
pub const HOP: Duration = Duration::from_millis(1);
/// Time that a server takes for a request.
const WORK_TIME: Duration = Duration::from_millis(40);
/// Time after which opening a connection without an answer is given up.
pub const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
const REPORT_INTERVAL: Duration = Duration::from_millis(350);

const PROBE_INTERVAL: Duration = Duration::from_millis(50);
const RELAYS_INTERVAL: Duration = Duration::from_millis(300);
/// Number of entry VMs of the own zone, and of others, that an entry VM is told of.
const RELAYS_PER_VM: usize = 4;

enum Event {
    /// The path of the entry VMs that the plan names is cut or restored.
    SetCut(Option<CutKind>),
    /// An entry VM reports to the control VM.
    Report(usize),
    /// The control VM tells entry VMs which others may relay.
    Relays,
    /// An entry VM probes servers if it has to.
    Probe(usize),
    /// A connection that was opened as a probe opens, or fails.
    ProbeEnd(usize, ServerIncarnation),
    /// A caller sends a request to an entry VM.
    Arrival(usize),
    /// A request requests its next step.
    Advance(Exchange),
    /// A connection to a server opens, or is refused.
    Connected(Attempt),
    /// The answer of a server arrives at the entry VM.
    Answer(Attempt),
    /// A request arrives at the entry VM that is to relay it.
    Relay(Attempt, usize),
    /// The answer of a server arrives at the entry VM that relays it.
    RelayedAnswer(Attempt, usize),
    /// An entry VM has passed on the whole answer to a request of another one.
    RelayEnd(usize),
    /// An attempt ends.
    End(Attempt, AttemptOutcome),
}

pub struct World {
    pub now: Duration,
    pub plan: Plan,
    pub entry_vms: Vec<EntryVm>,
    /// What became of the requests so far.
    pub records: Vec<Record>,
    /// When which entry VM began to open a connection to a server.
    pub connects: Vec<(Duration, usize)>,
    /// Number of probes so far.
    pub probe_count: usize,
    /// When a request was sent to an entry VM that was to relay it.
    pub relayed_at: Vec<Duration>,
    events: BTreeMap<(Duration, u64), Event>,
    event_count: u64,
    rng: StdRng,
}

impl World {
    /// Starts a site whose callers send requests at once.
    pub fn start(plan: Plan) -> Self {
        let has_large = plan.thin_links.is_some();
        let directory = directory(plan.zone_count, 4 * plan.zone_count, has_large);
        let entry_vms = (0..plan.vm_count).map(|index| {
            let zone = zone_name(plan.zone_of(index));
            EntryVm::new(
                Duration::ZERO,
                index,
                zone,
                directory.clone(),
                plan.thin_links,
            )
        });
        let mut world = Self {
            now: Duration::ZERO,
            plan,
            entry_vms: entry_vms.collect(),
            records: Vec::new(),
            connects: Vec::new(),
            probe_count: 0,
            relayed_at: Vec::new(),
            events: BTreeMap::new(),
            event_count: 0,
            rng: StdRng::seed_from_u64(7),
        };
        world.add_event(CUT_AT, Event::SetCut(Some(plan.kind)));
        world.add_event(HEALED_AT, Event::SetCut(None));
        for vm in 0..plan.vm_count {
            let offset = world.rng.random_range(0.0..1.0);
            world.add_event(REPORT_INTERVAL.mul_f64(offset), Event::Report(vm));
            let offset = world.rng.random_range(0.0..1.0);
            world.add_event(PROBE_INTERVAL.mul_f64(offset), Event::Probe(vm));
            world.entry_vms[vm].report(Duration::ZERO, plan.vm_count);
            world.add_arrival(vm);
        }
        world.add_event(Duration::ZERO, Event::Relays);
        world
    }

    pub fn run_until(&mut self, end: Duration) {
        while let Some(first) = self.events.first_entry()
            && first.key().0 <= end
        {
            let ((at, _), event) = first.remove_entry();
            self.now = at;
            self.handle(event);
        }
        self.now = end;
    }

    fn add_event(&mut self, at: Duration, event: Event) {
        self.event_count += 1;
        self.events.insert((at, self.event_count), event);
    }

    fn add_arrival(&mut self, vm: usize) {
        let gap = self.rng.random_range(0.5..1.5) / self.plan.requests_per_s;
        self.add_event(self.now + Duration::from_secs_f64(gap), Event::Arrival(vm));
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::SetCut(cut) => {
                for vm in 0..self.plan.vm_count {
                    if self.plan.is_cut(vm) {
                        self.entry_vms[vm].set_cut(cut);
                    }
                }
            }
            Event::Report(vm) => {
                self.entry_vms[vm].report(self.now, self.plan.vm_count);
                self.add_event(self.now + REPORT_INTERVAL, Event::Report(vm));
            }
            Event::Relays => {
                self.send_relays();
                self.add_event(self.now + RELAYS_INTERVAL, Event::Relays);
            }
            Event::Probe(vm) => {
                self.start_probes(vm);
                self.add_event(self.now + PROBE_INTERVAL, Event::Probe(vm));
            }
            Event::ProbeEnd(vm, server) => {
                let entry_vm = &mut self.entry_vms[vm];
                let is_slow = entry_vm.link_delay(self.now) > CONNECT_TIMEOUT;
                let result = match entry_vm.cut {
                    None if is_slow => ProbeResult::Unanswered,
                    None => ProbeResult::Answered,
                    Some(CutKind::Silent | CutKind::NewClosed) => ProbeResult::Unanswered,
                    Some(CutKind::Reset | CutKind::NewRefused) => ProbeResult::Refused,
                };
                entry_vm.gateway.record_probe(self.now, &server, result);
            }
            Event::Arrival(vm) => {
                self.add_arrival(vm);
                self.admit(vm);
            }
            Event::Advance(exchange) => self.advance(exchange),
            Event::Connected(attempt) => self.finish_connect(attempt),
            Event::Answer(attempt) => self.receive_answer(attempt),
            Event::Relay(attempt, peer) => self.relay(attempt, peer),
            Event::RelayedAnswer(attempt, peer) => {
                let Exchange {
                    answer_bytes: bytes,
                    is_large,
                    ..
                } = attempt.exchange;
                self.entry_vms[peer].record_relayed_answer(is_large);
                let passed_on_at = self.entry_vms[peer].pass_on(self.now, bytes);
                self.add_event(passed_on_at, Event::RelayEnd(peer));
                self.add_event(passed_on_at + HOP, Event::Answer(attempt));
            }
            Event::RelayEnd(peer) => self.entry_vms[peer].end_relay(),
            Event::End(attempt, outcome) => self.end_attempt(attempt, outcome),
        }
    }

    fn start_probes(&mut self, vm: usize) {
        let entry_vm = &mut self.entry_vms[vm];
        let time_limit = entry_vm.gateway.probe_timeout(self.now);
        let connect_time = entry_vm.connect_time(self.now, time_limit);
        for record in entry_vm.gateway.take_probes(self.now) {
            self.connects.push((self.now, vm));
            self.probe_count += 1;
            let event = Event::ProbeEnd(vm, record.incarnation);
            self.add_event(self.now + connect_time, event);
        }
    }

    fn send_relays(&mut self) {
        let able = (0..self.plan.vm_count).filter(|vm| self.entry_vms[*vm].can_relay);
        let able: Vec<usize> = able.collect();
        for vm in 0..self.plan.vm_count {
            let zone = self.plan.zone_of(vm);
            // Each entry VM is told of others, so that no few get all requests.
            let start = vm * RELAYS_PER_VM;
            let others = able.iter().cycle().skip(start).take(able.len());
            let others = others.filter(|other| **other != vm);
            let (own, other): (Vec<usize>, Vec<usize>) =
                others.partition(|other| self.plan.zone_of(**other) == zone);
            let own = own.into_iter().take(RELAYS_PER_VM);
            let chosen = own.chain(other.into_iter().take(RELAYS_PER_VM));
            let relays = chosen.map(|index| relay_peer(index, self.plan.zone_of(index)));
            let relays = relays.collect();
            self.entry_vms[vm].set_relays(relays);
        }
    }

    fn admit(&mut self, vm: usize) {
        let links = self.plan.thin_links;
        let is_large = links.is_some_and(|links| self.rng.random_bool(links.large_share));
        let path = if is_large {
            DOWNLOADS
        } else if self.rng.random_bool(0.5) {
            READS
        } else {
            ORDERS
        };
        let answer_bytes = links.map_or(0, |links| {
            let mean = if is_large {
                links.large_answer_bytes
            } else {
                links.small_answer_bytes
            };
            self.rng.random_range(mean / 2..mean * 3 / 2)
        });
        let metadata = RequestMetadata {
            attempt_id: None,
            time_left: Some(Duration::from_millis(self.rng.random_range(1000..1500))),
            key: Some(self.rng.random()),
        };
        let gateway = &mut self.entry_vms[vm].gateway;
        match gateway.admit(self.now, "host", path, &metadata) {
            Admission::Accepted(ticket) => self.advance(Exchange {
                entry_vm: vm,
                arrived_at: self.now,
                ticket,
                is_large,
                answer_bytes,
            }),
            Admission::Refused(refusal) => panic!("refused at arrival: {refusal:?}"),
        }
    }

    fn advance(&mut self, mut exchange: Exchange) {
        let gateway = &mut self.entry_vms[exchange.entry_vm].gateway;
        match gateway.next_step(self.now, &mut exchange.ticket) {
            NextStep::Refuse(refusal) => self.record_refusal(&exchange, &refusal),
            NextStep::Wait(until) => self.add_event(until, Event::Advance(exchange)),
            NextStep::Send(target) => self.send(Attempt {
                exchange,
                target,
                is_connected: false,
            }),
        }
    }

    fn record_refusal(&mut self, exchange: &Exchange, refusal: &Refusal) {
        let ending = Ending::Refused {
            took: self.now.saturating_sub(exchange.arrived_at),
            may_have_run: refusal.may_have_run,
            has_retry_after: refusal.retry_after.is_some(),
        };
        self.record(exchange, ending);
    }

    fn record(&mut self, exchange: &Exchange, ending: Ending) {
        self.records.push(Record {
            entry_vm: exchange.entry_vm,
            arrived_at: exchange.arrived_at,
            ending,
        });
    }

    fn send(&mut self, mut attempt: Attempt) {
        let entry_vm = &mut self.entry_vms[attempt.exchange.entry_vm];
        if let Some(peer) = &attempt.target.relay {
            let peer = peer.vm.parse().expect("an index");
            self.relayed_at.push(self.now);
            self.add_event(self.now + HOP, Event::Relay(attempt, peer));
            return;
        }
        if entry_vm.take_connection(self.now, &attempt.target) {
            attempt.is_connected = true;
            let work_time = self.work_time();
            self.add_event(self.now + 2 * HOP + work_time, Event::Answer(attempt));
            return;
        }
        let time_limit = attempt.target.connect_timeout;
        let connect_time = entry_vm.connect_time(self.now, time_limit);
        self.connects.push((self.now, attempt.exchange.entry_vm));
        let opened_at = self.now + connect_time;
        if connect_time == time_limit {
            return self.add_event(opened_at, Event::End(attempt, AttemptOutcome::Unreachable));
        }
        self.add_event(opened_at, Event::Connected(attempt));
    }

    /// Returns the time that a server takes for a request.
    fn work_time(&self) -> Duration {
        let links = self.plan.thin_links;
        links.map_or(WORK_TIME, |links| links.work_time)
    }

    fn finish_connect(&mut self, mut attempt: Attempt) {
        let outcome = match self.entry_vms[attempt.exchange.entry_vm].cut {
            None => {
                attempt.is_connected = true;
                let answered_at =
                    self.now + attempt.target.settle_time + 2 * HOP + self.work_time();
                return self.add_event(answered_at, Event::Answer(attempt));
            }
            Some(CutKind::Silent) => AttemptOutcome::Unreachable,
            Some(CutKind::NewClosed) => AttemptOutcome::ConnectionRejected,
            Some(CutKind::Reset | CutKind::NewRefused) => AttemptOutcome::Refused,
        };
        self.end_attempt(attempt, outcome);
    }

    fn receive_answer(&mut self, attempt: Attempt) {
        let entry_vm = &mut self.entry_vms[attempt.exchange.entry_vm];
        let is_relayed = attempt.target.relay.is_some();
        match entry_vm.cut.filter(|_| !is_relayed) {
            None | Some(CutKind::NewRefused | CutKind::NewClosed) => {
                let deadline = attempt.target.attempt_deadline;
                let received_at = entry_vm.pass_on(self.now, attempt.exchange.answer_bytes);
                let (at, outcome) = if received_at > deadline {
                    (deadline.max(self.now), AttemptOutcome::Silent)
                } else {
                    (received_at, AttemptOutcome::Answered)
                };
                self.add_event(at, Event::End(attempt, outcome));
            }
            Some(CutKind::Silent) => {
                let until = attempt.target.attempt_deadline.max(self.now);
                self.add_event(until, Event::End(attempt, AttemptOutcome::Silent));
            }
            Some(CutKind::Reset) => self.end_attempt(attempt, AttemptOutcome::Broken),
        }
    }

    fn relay(&mut self, attempt: Attempt, peer: usize) {
        let work_time = self.work_time();
        let relay = &mut self.entry_vms[peer];
        let link_delay = relay.link_delay(self.now);
        let cut = relay.cut;
        let (after, outcome) = match cut {
            _ if !relay.gateway.can_relay(self.now) => (HOP, AttemptOutcome::RefusedByRelay),
            Some(CutKind::Silent) => (CONNECT_TIMEOUT + HOP, AttemptOutcome::UnreachableFromRelay),
            Some(_) => (3 * HOP, AttemptOutcome::UnreachableFromRelay),
            None if link_delay > attempt.target.connect_timeout => (
                attempt.target.connect_timeout,
                AttemptOutcome::UnreachableFromRelay,
            ),
            None if !relay.try_begin_relay(self.now, attempt.exchange.is_large) => {
                (HOP, AttemptOutcome::RefusedByRelay)
            }
            None => {
                let answered_at = self.now + link_delay + 2 * HOP + work_time;
                return self.add_event(answered_at, Event::RelayedAnswer(attempt, peer));
            }
        };
        self.add_event(self.now + after, Event::End(attempt, outcome));
    }

    fn end_attempt(&mut self, mut attempt: Attempt, outcome: AttemptOutcome) {
        let now = self.now;
        let entry_vm = &mut self.entry_vms[attempt.exchange.entry_vm];
        let incarnation = &attempt.target.incarnation;
        if outcome == AttemptOutcome::Silent {
            entry_vm.close_connections(incarnation);
        }
        let is_closed = self.plan.has_closing_servers && self.rng.random_bool(0.1);
        if outcome == AttemptOutcome::Answered && attempt.is_connected && !is_closed {
            entry_vm.keep_connection(now, incarnation);
        }
        let gateway = &mut entry_vm.gateway;
        let ticket = &mut attempt.exchange.ticket;
        if gateway.record_attempt_end(now, ticket, outcome) {
            return self.advance(attempt.exchange);
        }
        if outcome == AttemptOutcome::Answered {
            return self.record(&attempt.exchange, Ending::Served);
        }
        let refusal = gateway.final_refusal(now, ticket, outcome);
        self.record_refusal(&attempt.exchange, &refusal);
    }
}

fn relay_peer(index: usize, zone: usize) -> RelayPeer {
    let port = 9000 + u16::try_from(index).expect("a small index");
    RelayPeer {
        vm: index.to_string(),
        address: SocketAddr::from(([10, 0, 1, 1], port)),
        zone: zone_name(zone),
    }
}
