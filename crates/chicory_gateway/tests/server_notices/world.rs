//! Entry VMs, their callers, a control VM and backend servers in virtual time.

use std::collections::BTreeMap;
use std::time::Duration;

use chicory_directory::{ControlMessage, EntryMessage, EntryReport};
use chicory_gateway::RequestTicket;
use chicory_ranges::ServerIncarnation;
use chicory_wire::proto::site;
use prost::Message as _;
use rand::RngExt;
use rand::rngs::StdRng;

use crate::backend_server::BackendServer;
use crate::callers::{Arrivals, Callers};
use crate::control_vm::ControlVm;
use crate::entry_vm::{EntryVm, Progress};

const START: Duration = Duration::from_secs(5);
/// Time at which callers begin to send requests.
pub const TRAFFIC_AT: Duration = Duration::from_secs(10);
const ANNOUNCE_INTERVAL: Duration = Duration::from_millis(900);
const STEP: Duration = Duration::from_millis(1);
const NETWORK_DELAY: Duration = Duration::from_millis(1);
/// Longest time that a connection to a cold server takes to open.
const MAX_CONNECT_TIME: Duration = Duration::from_millis(300);
const WORK_TIME: Duration = Duration::from_millis(80);

/// A request at the server, until its answer is received.
struct Exchange {
    entry_vm: usize,
    ticket: RequestTicket,
    server: ServerIncarnation,
    sent_at: Duration,
    answered_at: Duration,
    /// Rest that the server asks for as it turns the request away.
    rest: Option<Duration>,
    /// Whether the server turns the request away because it is full.
    is_shed: bool,
}

/// Numbers of requests.
#[derive(Clone, Copy, Debug, Default)]
pub struct Counts {
    pub sent: u32,
    pub refused: u32,
}

/// Numbers of messages and of their bytes.
#[derive(Clone, Copy, Debug, Default)]
pub struct Traffic {
    pub messages: usize,
    pub bytes: usize,
}

impl Traffic {
    fn record(&mut self, bytes: usize) {
        self.messages += 1;
        self.bytes += bytes;
    }
}

enum Message {
    ToControl(EntryMessage),
    ToEntry(ControlMessage),
}

pub struct World {
    pub now: Duration,
    pub servers: BTreeMap<ServerIncarnation, BackendServer>,
    pub entry_vms: Vec<EntryVm>,
    pub control_vm: Option<ControlVm>,
    /// What became of requests, by path.
    counts: BTreeMap<&'static str, Counts>,
    arrivals: Vec<(&'static str, Arrivals)>,
    exchanges: Vec<Exchange>,
    messages: Vec<(Duration, usize, Message)>,
    announce_at: Duration,
    cold_rate_millihertz: Option<u32>,
    /// Draws how long connections take to open, if they don't open at once.
    pub connect_delays: Option<StdRng>,
    /// Whether answers to requests for permits get lost.
    pub are_permits_lost: bool,
    /// Messages about limits and permits, in both directions.
    pub limit_traffic: Traffic,
}

impl World {
    /// Starts a site whose backend servers have these names, until callers begin.
    pub fn start(entry_count: usize, server_names: &[&str]) -> Self {
        let names = server_names.iter();
        let servers = names.map(|name| (*name, BackendServer::default()));
        Self::start_with(entry_count, servers.collect(), None)
    }

    /// Starts a site with these backend servers, until callers begin. Cold servers bear this many
    /// requests in 1000 seconds.
    pub fn start_with(
        entry_count: usize,
        servers: Vec<(&str, BackendServer)>,
        cold_rate_millihertz: Option<u32>,
    ) -> Self {
        let servers = servers.into_iter();
        let servers = servers.map(|(name, server)| (ServerIncarnation::new(name, 1), server));
        let mut world = Self {
            now: START,
            servers: servers.collect(),
            cold_rate_millihertz,
            connect_delays: None,
            are_permits_lost: false,
            entry_vms: (0..entry_count)
                .map(|index| EntryVm::new(START, index))
                .collect(),
            control_vm: Some(ControlVm::start(START, 1)),
            counts: BTreeMap::new(),
            arrivals: Vec::new(),
            exchanges: Vec::new(),
            messages: Vec::new(),
            announce_at: START,
            limit_traffic: Traffic::default(),
        };
        let control_vm = world.control_vm.as_mut().expect("a control VM");
        for index in 0..entry_count {
            control_vm.connect(START, index);
        }
        world.await_leader();
        world.run_until(TRAFFIC_AT);
        world
    }

    /// Adds callers who send requests to a path from now on.
    pub fn add_callers(&mut self, path: &'static str, callers: Callers) {
        let seed = self.arrivals.len() as u64;
        let arrivals = Arrivals::new(callers, self.now, seed);
        self.arrivals.push((path, arrivals));
    }

    /// Returns a server by its name.
    pub fn server(&mut self, name: &str) -> &mut BackendServer {
        let incarnation = ServerIncarnation::new(name, 1);
        self.servers.get_mut(&incarnation).expect("a server")
    }

    /// Returns what became of the requests to a path so far.
    pub fn counts(&self, path: &str) -> Counts {
        self.counts.get(path).copied().unwrap_or_default()
    }

    /// Returns how many key ranges moved to another server so far.
    pub fn moves(&self) -> usize {
        self.control_vm.as_ref().map_or(0, |vm| vm.moves)
    }

    fn await_leader(&mut self) {
        while !self
            .control_vm
            .as_ref()
            .is_some_and(|vm| vm.is_leading(self.now))
        {
            self.run_until(self.now + STEP);
        }
        let control_vm = self.control_vm.as_mut().expect("a control VM");
        control_vm.put_routes(self.now, self.cold_rate_millihertz);
        control_vm.announce_servers(self.now, &self.servers);
        self.announce_at = self.now + ANNOUNCE_INTERVAL;
    }

    /// Replaces the control VM by one that knows nothing, as a new leader does.
    pub fn restart_control_vm(&mut self) {
        self.control_vm = Some(ControlVm::start(self.now, 2));
        self.messages.clear();
        for entry_vm in &mut self.entry_vms {
            entry_vm.gateway.record_new_control_vm();
        }
        // Entry VMs find the control VM before it is elected, and their first reports get lost.
        if let Some(control_vm) = &mut self.control_vm {
            for index in 0..self.entry_vms.len() {
                control_vm.connect(self.now, index);
            }
        }
        self.await_leader();
    }

    pub fn run_until(&mut self, end: Duration) {
        while self.now < end {
            self.now += STEP;
            self.run_control();
            self.run_exchanges();
            self.wake_waiting();
            self.run_callers();
        }
    }

    fn run_control(&mut self) {
        let now = self.now;
        let due = |message: &mut (Duration, usize, Message)| message.0 <= now;
        for (_, index, message) in self.messages.extract_if(.., due).collect::<Vec<_>>() {
            if !self.entry_vms[index].is_linked {
                continue;
            }
            match message {
                Message::ToEntry(message) => self.entry_vms[index].receive(now, message),
                Message::ToControl(message) => {
                    if let Some(control_vm) = &mut self.control_vm {
                        control_vm.receive(now, index, message);
                    }
                }
            }
        }
        let arrives_at = now + NETWORK_DELAY;
        if let Some(control_vm) = &mut self.control_vm {
            control_vm.tick(now);
            if now >= self.announce_at && control_vm.is_leading(now) {
                self.announce_at = now + ANNOUNCE_INTERVAL;
                control_vm.announce_servers(now, &self.servers);
            }
            for (index, message) in control_vm.outbox.drain(..) {
                if matches!(message, ControlMessage::ServerLimits(_)) {
                    let message = site::ControlMessage::from(message.clone());
                    self.limit_traffic.record(message.encoded_len());
                    if self.are_permits_lost {
                        continue;
                    }
                }
                self.messages
                    .push((arrives_at, index, Message::ToEntry(message)));
            }
        }
        for (index, entry_vm) in self.entry_vms.iter_mut().enumerate() {
            if let Some(message) = entry_vm.take_message(now) {
                let EntryMessage::Report(report) = &message;
                if !report.limits.is_empty() || !report.permits.is_empty() {
                    let report = EntryReport {
                        keys: Vec::new(),
                        servers: Vec::new(),
                        ..report.clone()
                    };
                    let message = site::EntryMessage::from(EntryMessage::Report(report));
                    self.limit_traffic.record(message.encoded_len());
                }
                self.messages
                    .push((arrives_at, index, Message::ToControl(message)));
            }
        }
    }

    fn run_callers(&mut self) {
        for index in 0..self.arrivals.len() {
            loop {
                let (path, arrivals) = &mut self.arrivals[index];
                let path = *path;
                let Some((entry_vm, key)) = arrivals.next(self.now, self.entry_vms.len()) else {
                    break;
                };
                let progress = self.entry_vms[entry_vm].accept(self.now, path, key);
                self.record_progress(entry_vm, path, progress);
            }
        }
    }

    fn record_progress(&mut self, entry_vm: usize, path: &'static str, progress: Progress) {
        match progress {
            Progress::Sent(ticket, server) => {
                self.counts.entry(path).or_default().sent += 1;
                let mut arrives_at = self.now + NETWORK_DELAY;
                if let Some(rng) = &mut self.connect_delays {
                    arrives_at += MAX_CONNECT_TIME.mul_f64(rng.random_range(0.0..1.0));
                }
                let at_server = self.exchanges.iter();
                let at_server = at_server.filter(|exchange| exchange.server == server);
                let running_count = at_server.filter(|exchange| !exchange.is_shed).count();
                let backend_server = self.servers.get_mut(&server).expect("a server");
                backend_server.record_arrival(arrives_at, entry_vm);
                let rest = backend_server.rest_at(arrives_at);
                let capacity = backend_server.capacity;
                let is_shed = capacity.is_some_and(|capacity| running_count >= capacity);
                let work_time = if rest.is_some() || is_shed {
                    Duration::ZERO
                } else {
                    WORK_TIME
                };
                self.exchanges.push(Exchange {
                    entry_vm,
                    ticket,
                    server,
                    sent_at: self.now,
                    answered_at: arrives_at + work_time,
                    rest,
                    is_shed,
                });
            }
            Progress::Waiting(ticket, until) => {
                self.entry_vms[entry_vm].waiting.push((ticket, until));
            }
            Progress::Refused => self.counts.entry(path).or_default().refused += 1,
        }
    }

    fn run_exchanges(&mut self) {
        let now = self.now;
        let is_due = |exchange: &mut Exchange| exchange.answered_at + NETWORK_DELAY <= now;
        let answered: Vec<Exchange> = self.exchanges.extract_if(.., is_due).collect();
        for exchange in answered {
            let server = self.servers.get_mut(&exchange.server).expect("a server");
            let entry_vm = &mut self.entry_vms[exchange.entry_vm];
            if let Some(rest) = exchange.rest {
                server.record_rest(exchange.answered_at, exchange.entry_vm);
                let path = path_of(&exchange.ticket);
                let request = (exchange.ticket, exchange.server);
                let progress = entry_vm.receive_rest(now, request, rest);
                self.record_progress(exchange.entry_vm, path, progress);
                continue;
            }
            if exchange.is_shed {
                let path = path_of(&exchange.ticket);
                let progress = entry_vm.receive_shed(now, exchange.ticket);
                self.record_progress(exchange.entry_vm, path, progress);
                continue;
            }
            let limit = server.limit_at(exchange.answered_at);
            server.record_answer(now, exchange.entry_vm, limit);
            let is_leaving = server.is_leaving_at(exchange.answered_at);
            if is_leaving {
                server.record_leaving_answer(now, exchange.entry_vm);
            }
            let request = (exchange.ticket, exchange.server);
            entry_vm.receive_answer(now, request, exchange.sent_at, (limit, is_leaving));
        }
    }

    fn wake_waiting(&mut self) {
        for index in 0..self.entry_vms.len() {
            let now = self.now;
            let due = self.entry_vms[index]
                .waiting
                .extract_if(.., |(_, until)| *until <= now);
            for (ticket, _) in due.collect::<Vec<_>>() {
                let path = path_of(&ticket);
                let progress = self.entry_vms[index].advance(now, ticket);
                self.record_progress(index, path, progress);
            }
        }
    }
}

fn path_of(ticket: &RequestTicket) -> &'static str {
    match ticket.route().route.name.as_str() {
        "urgent" => URGENT,
        "plans" => PLANS,
        _ => READS,
    }
}

/// Path of requests that any server of another service may serve.
pub const PLANS: &str = "/plans/x";
/// Path of requests that are served first.
pub const URGENT: &str = "/urgent/x";
/// Path of all other requests.
pub const READS: &str = "/reads/x";
