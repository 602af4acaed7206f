//! Simulated control VMs in virtual time, with disks that keep what was synced, and a
//! network with partitions.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::SocketAddr;
use std::time::Duration;

use chicory_consensus::{Entry, HardState, RestoredState, Snapshot};
use chicory_directory::{
    ControlMessage, PeerEnvelope, ServerRecord, ServerState, SiteAnswer, SiteCall,
};
use chicory_ranges::{CallId, CallOutcome, GrantCall, RELEASE_TIMEOUT, ServerIncarnation};
use chicory_routes::{RequestKind, Route, RouteTable, RouteTarget, RoutedService};
use chicory_site::{GrantRequest, SiteConfig, SiteCore, SiteEffect, SiteEvent, SiteNote};

const STEP: Duration = Duration::from_millis(10);
const LINK_DELAY: Duration = Duration::from_millis(1);
const SYNC_TIME: Duration = Duration::from_millis(5);

/// Content of a disk.
#[derive(Clone, Default)]
struct Disk {
    incarnation: u64,
    is_founder: bool,
    hard_state: HardState,
    snapshot: Option<Snapshot>,
    entries: Vec<Entry>,
}

impl Disk {
    fn restored(&self) -> RestoredState {
        RestoredState {
            hard_state: self.hard_state.clone(),
            snapshot: self.snapshot.clone(),
            entries: self.entries.clone(),
            may_vote: true,
        }
    }
}

struct Vm {
    core: Option<SiteCore>,
    disk: Disk,
    is_disk_full: bool,
    /// Whether the disk is opened again once it has room.
    awaits_disk: bool,
    persists: VecDeque<(Duration, SiteEffect)>,
}

/// A simulated site in virtual time.
pub struct Simulation {
    pub now: Duration,
    vms: BTreeMap<String, Vm>,
    seeds: Vec<String>,
    voter_count: usize,
    /// Services whose load is managed.
    managed_services: BTreeSet<String>,
    /// Availability zones of the VMs that name theirs.
    zones: BTreeMap<String, String>,
    /// Availability zones in the settings of VMs that start from now on.
    pub known_zones: BTreeSet<String>,
    blocked_links: BTreeSet<(String, String)>,
    in_flight: Vec<(Duration, String, String, PeerEnvelope)>,
    pub answers: BTreeMap<u64, SiteAnswer>,
    pub entry_messages: Vec<(String, u64, ControlMessage)>,
    /// Links that have written their messages, which is reported in the next step.
    drained_links: BTreeSet<(String, u64)>,
    pub grants: Vec<(ServerIncarnation, GrantCall)>,
    /// Shortest and longest time until a server answers a call; unreachable servers never do.
    pub grant_delay: (Duration, Duration),
    pub unreachable_servers: BTreeSet<String>,
    running_calls: Vec<(Duration, String, CallId, CallOutcome)>,
    pub notes: Vec<(String, SiteNote)>,
    last_caller: u64,
    start_count: u64,
}

impl Simulation {
    pub fn new(count: usize) -> Self {
        let seeds: Vec<String> = (1..=count).map(vm_name).collect();
        let mut simulation = Self {
            now: Duration::from_secs(1),
            vms: BTreeMap::new(),
            seeds: seeds.clone(),
            voter_count: 3,
            managed_services: BTreeSet::new(),
            zones: BTreeMap::new(),
            blocked_links: BTreeSet::new(),
            in_flight: Vec::new(),
            answers: BTreeMap::new(),
            entry_messages: Vec::new(),
            drained_links: BTreeSet::new(),
            grants: Vec::new(),
            grant_delay: (Duration::ZERO, Duration::ZERO),
            unreachable_servers: BTreeSet::new(),
            running_calls: Vec::new(),
            known_zones: BTreeSet::new(),
            notes: Vec::new(),
            last_caller: 0,
            start_count: 0,
        };
        for vm in &seeds {
            simulation.add(vm, true);
        }
        simulation
    }

    pub fn with_leader(count: usize) -> Self {
        let mut simulation = Self::new(count);
        simulation.await_leader();
        simulation
    }

    /// Starts control VMs that manage the load of a service, and waits for a leader.
    pub fn with_managed_service(count: usize, service: &str) -> Self {
        let mut simulation = Self::new(0);
        simulation.seeds = (1..=count).map(vm_name).collect();
        simulation.managed_services.insert(service.into());
        for vm in simulation.seeds.clone() {
            simulation.add(&vm, true);
        }
        simulation.await_leader();
        simulation
    }

    /// Starts control VMs in several availability zones for the first time, with empty disks.
    pub fn deployment(vms_by_zone: &[usize], voter_count: usize, seeds: &[String]) -> Self {
        let mut simulation = Self::new(0);
        simulation.seeds = seeds.to_vec();
        simulation.voter_count = voter_count;
        for (zone, vm_count) in vms_by_zone.iter().enumerate() {
            for index in 0..*vm_count {
                let vm = vm_in_zone(zone, index);
                let is_founder = seeds.contains(&vm);
                simulation.add_in_zone(zone, &vm, is_founder);
            }
        }
        simulation
    }

    /// Returns the names of all control VMs, running or not.
    pub fn vm_names(&self) -> Vec<String> {
        self.vms.keys().cloned().collect()
    }

    /// Sets the seeds of VMs that start from now on.
    pub fn set_seeds(&mut self, seeds: &[String]) {
        self.seeds = seeds.to_vec();
    }

    /// Starts a VM with an empty disk.
    pub fn add(&mut self, vm: &str, is_founder: bool) {
        self.start_count += 1;
        let disk = Disk {
            incarnation: self.start_count,
            is_founder,
            ..Disk::default()
        };
        let fresh = Vm {
            core: None,
            disk,
            is_disk_full: false,
            awaits_disk: false,
            persists: VecDeque::new(),
        };
        self.vms.insert(vm.to_owned(), fresh);
        self.start(vm);
    }

    /// Starts a VM with an empty disk that names its availability zone.
    pub fn add_in_zone(&mut self, zone: usize, vm: &str, is_founder: bool) {
        self.zones.insert(vm.to_owned(), format!("zone-{zone}"));
        self.add(vm, is_founder);
    }

    pub fn start(&mut self, vm: &str) {
        self.start_count += 1;
        let mut config = SiteConfig::new(vm, self.seeds.clone())
            .with_random_seed(self.start_count * 77)
            .with_voter_count(self.voter_count)
            .with_zones(self.known_zones.clone())
            .with_managed_services(self.managed_services.clone());
        if let Some(zone) = self.zones.get(vm) {
            config = config.with_zone(zone);
        }
        let state = self.vms.get_mut(vm).expect("known VM");
        state.core = Some(SiteCore::new(config, self.now));
        let opened = SiteEvent::StorageOpened {
            incarnation: state.disk.incarnation,
            restored: state.disk.restored(),
            is_founder: state.disk.is_founder,
        };
        self.handle_event(vm, opened);
    }

    pub fn kill(&mut self, vm: &str) {
        let state = self.vms.get_mut(vm).expect("known VM");
        state.core = None;
        state.awaits_disk = false;
        state.persists.clear();
    }

    pub fn set_disk_full(&mut self, vm: &str, is_full: bool) {
        let state = self.vms.get_mut(vm).expect("known VM");
        state.is_disk_full = is_full;
        if !is_full && std::mem::take(&mut state.awaits_disk) {
            self.run_effect(vm, SiteEffect::ReopenStorage);
        }
    }

    /// Isolates one VM from all others, or connects it again.
    pub fn set_isolated(&mut self, vm: &str, is_isolated: bool) {
        for other in self.vms.keys().filter(|other| *other != vm) {
            for pair in [(vm, other.as_str()), (other.as_str(), vm)] {
                let pair = (pair.0.to_owned(), pair.1.to_owned());
                if is_isolated {
                    self.blocked_links.insert(pair);
                } else {
                    self.blocked_links.remove(&pair);
                }
            }
        }
    }

    pub fn is_running(&self, vm: &str) -> bool {
        self.vms[vm].core.is_some()
    }

    pub fn core(&self, vm: &str) -> &SiteCore {
        self.vms[vm].core.as_ref().expect("running VM")
    }

    pub fn leader(&self) -> Option<String> {
        let running = self
            .vms
            .iter()
            .filter_map(|(vm, s)| Some((vm, s.core.as_ref()?)));
        let mut leading = running.filter(|(_, core)| core.is_leading(self.now));
        leading.next().map(|(vm, _)| vm.clone())
    }

    pub fn await_leader(&mut self) -> String {
        for _ in 0..1000 {
            if let Some(leader) = self.leader() {
                return leader;
            }
            self.step();
        }
        panic!("no leader within ten seconds");
    }

    pub fn follower(&self) -> String {
        let leader = self.leader().expect("a leader");
        let mut running = self.vms.iter().filter(|(_, state)| state.core.is_some());
        let follower = running.find(|(vm, _)| **vm != leader);
        follower.expect("a follower").0.clone()
    }

    pub fn call(&mut self, vm: &str, call: SiteCall) -> u64 {
        self.last_caller += 1;
        let caller = self.last_caller;
        self.handle_event(vm, SiteEvent::CallReceived { caller, call });
        caller
    }

    /// Makes a call and waits up to one second for the answer.
    pub fn call_and_wait(&mut self, vm: &str, call: SiteCall) -> Option<SiteAnswer> {
        let caller = self.call(vm, call);
        for _ in 0..100 {
            if let Some(answer) = self.answers.remove(&caller) {
                return Some(answer);
            }
            self.step();
        }
        None
    }

    pub fn run(&mut self, duration: Duration) {
        let end = self.now + duration;
        while self.now < end {
            self.step();
        }
    }

    pub fn step(&mut self) {
        self.now += STEP;
        for (vm, link) in std::mem::take(&mut self.drained_links) {
            self.handle_event(&vm, SiteEvent::EntryLinkReady { link });
        }
        for vm in self.vms.keys().cloned().collect::<Vec<_>>() {
            self.finish_persists(&vm);
            let core = self.vms[&vm].core.as_ref();
            if core.is_some_and(|core| core.next_wakeup() <= self.now) {
                self.handle_event(&vm, SiteEvent::Tick);
            }
        }
        self.finish_grant_calls();
        let due: Vec<_> = self
            .in_flight
            .extract_if(.., |(at, ..)| *at <= self.now)
            .collect();
        for (_, from, to, envelope) in due {
            let is_blocked = self.blocked_links.contains(&(from.clone(), to.clone()));
            let is_up = self.vms.get(&to).is_some_and(|vm| vm.core.is_some());
            if is_up && !is_blocked {
                if let Some(zone) = self.zones.get(&from).cloned() {
                    let vm = from.clone();
                    self.handle_event(&to, SiteEvent::PeerConnected { vm, zone });
                }
                self.handle_event(&to, SiteEvent::PeerSent { from, envelope });
            }
        }
    }

    fn finish_persists(&mut self, vm: &str) {
        loop {
            let state = self.vms.get_mut(vm).expect("known VM");
            let is_due = state
                .persists
                .front()
                .is_some_and(|(at, _)| *at <= self.now);
            if !is_due {
                return;
            }
            let Some((_, effect)) = state.persists.pop_front() else {
                return;
            };
            let SiteEffect::Persist {
                ticket,
                hard_state,
                truncate_from,
                snapshot,
                entries,
            } = effect
            else {
                return;
            };
            if state.is_disk_full {
                self.handle_event(vm, SiteEvent::PersistFailed { ticket });
                continue;
            }
            let disk = &mut state.disk;
            if let Some(hard_state) = hard_state {
                disk.hard_state = hard_state;
            }
            if let Some(from) = truncate_from {
                disk.entries.retain(|entry| entry.index < from);
            }
            if let Some(snapshot) = snapshot {
                disk.entries
                    .retain(|entry| entry.index > snapshot.last_index);
                disk.snapshot = Some(snapshot);
            }
            disk.entries.extend(entries);
            self.handle_event(vm, SiteEvent::Persisted { ticket });
        }
    }

    pub fn handle_event(&mut self, vm: &str, event: SiteEvent) {
        let now = self.now;
        let state = self.vms.get_mut(vm).expect("known VM");
        let Some(core) = &mut state.core else { return };
        for effect in core.reduce(now, event) {
            self.run_effect(vm, effect);
        }
    }

    fn run_grant_call(&mut self, vm: &str, request: GrantRequest) {
        let call = request.call;
        let is_unreachable = self
            .unreachable_servers
            .contains(&request.incarnation.server);
        self.grants.push((request.incarnation, request.content));
        let (outcome, delay) = if is_unreachable {
            (CallOutcome::Unanswered, RELEASE_TIMEOUT)
        } else {
            let done = CallOutcome::Done {
                handover: None,
                link: Some(1),
            };
            let (shortest, longest) = self.grant_delay;
            // Spreads the answers over the whole time, in another order than that of the calls.
            let part = u32::try_from(call * 37 % 100).expect("below 100");
            (
                done,
                shortest + longest.saturating_sub(shortest) * part / 100,
            )
        };
        if delay.is_zero() {
            self.handle_event(vm, SiteEvent::GrantCallEnded { call, outcome });
        } else {
            let at = self.now + delay;
            self.running_calls.push((at, vm.to_owned(), call, outcome));
        }
    }

    fn finish_grant_calls(&mut self) {
        let now = self.now;
        let ended: Vec<_> = self
            .running_calls
            .extract_if(.., |(at, ..)| *at <= now)
            .collect();
        for (_, vm, call, outcome) in ended {
            self.handle_event(&vm, SiteEvent::GrantCallEnded { call, outcome });
        }
    }

    fn run_effect(&mut self, vm: &str, effect: SiteEffect) {
        let state = self.vms.get_mut(vm).expect("known VM");
        match effect {
            effect @ SiteEffect::Persist { .. } => {
                state.persists.push_back((self.now + SYNC_TIME, effect));
            }
            SiteEffect::ReopenStorage => {
                state.awaits_disk = state.is_disk_full;
                if !state.is_disk_full {
                    let opened = SiteEvent::StorageOpened {
                        incarnation: state.disk.incarnation,
                        restored: state.disk.restored(),
                        is_founder: state.disk.is_founder,
                    };
                    self.handle_event(vm, opened);
                }
            }
            SiteEffect::Answer { caller, answer } => {
                self.answers.insert(caller, answer);
            }
            SiteEffect::SendToPeer { to, envelope } => {
                let at = self.now + LINK_DELAY;
                self.in_flight.push((at, vm.to_owned(), to, envelope));
            }
            SiteEffect::SendToEntries { links, message } => {
                for link in links {
                    let message = message.clone();
                    self.entry_messages.push((vm.to_owned(), link, message));
                    self.drained_links.insert((vm.to_owned(), link));
                }
            }
            SiteEffect::Grant(request) => self.run_grant_call(vm, request),
            SiteEffect::Note(note) => self.notes.push((vm.to_owned(), note)),
        }
    }
}

pub fn vm_name(index: usize) -> String {
    format!("10.{index}.0.1:7540")
}

/// Returns the name of a control VM of a deployment.
pub fn vm_in_zone(zone: usize, index: usize) -> String {
    format!("10.{zone}.0.{index}:7540")
}

pub fn table(version: u64) -> RouteTable {
    let service = |name: &str, is_keyed| RoutedService {
        name: name.into(),
        health_path: None,
        max_connections: None,
        protocol: None,
        has_tls: None,
        is_keyed: Some(is_keyed),
        warmup: None,
        grant_mode: None,
        cold_time: None,
        cold_rate_millihertz: None,
    };
    RouteTable {
        version,
        routes: vec![Route {
            name: "reads".into(),
            host: "host".into(),
            path_prefix: "/reads/".into(),
            kind: RequestKind::Idempotent,
            timeout: Some(Duration::from_secs(1)),
            latency_target: None,
            priority: None,
            max_attempts: None,
            target: RouteTarget::Service("archive".into()),
        }],
        services: vec![service("archive", true), service("orders", false)],
        limits: None,
    }
}

pub fn server(name: &str, started_at_ms: u64, port: u16, state: ServerState) -> ServerRecord {
    ServerRecord {
        incarnation: ServerIncarnation::new(name, started_at_ms),
        service: "archive".into(),
        address: SocketAddr::from(([10, 9, 0, 1], port)),
        zone: "north".into(),
        software_version: "v1".into(),
        slots: 3,
        state,
        cold_for: Duration::ZERO,
    }
}
