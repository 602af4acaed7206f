//! State of the model.

mod in_words;

use std::collections::VecDeque;
use std::time::Duration;

use chicory_ranges::{
    CALL_TIMEOUT, CallId, CallOutcome, GrantCall, GrantCoordinator, GrantCoordinatorConfig,
    GrantEffect, GrantEvent, Key, KeyRange, LinkId, RENEWAL_INTERVAL, RangeMove, RangeRegistry,
    ServerIncarnation, Transfer,
};
use chicory_types::{MonoTime, fingerprint_of};

use super::{
    Action, AddressIndex, Bounds, Call, CallRoute, CallStage, Directory, Heard, Links, Process,
    ProcessIndex, Successor, TimeStep, Violation,
};

const SERVICE: &str = "archive";
const ADDRESS_COUNT: usize = 2;
const KEYS_PER_RANGE: Key = 10;
const START: MonoTime = Duration::from_secs(100);
/// Parts of the coordinator's state that decide nothing: a measure of its work, and the last of its
/// call ids.
const COUNTERS: [&str; 2] = ["last_call: ", "visited_range_count: "];

/// State of the model: the leader, the registry, the processes and what is under way.
#[derive(Clone, Debug)]
pub struct World {
    now: MonoTime,
    registry: RangeRegistry,
    coordinator: GrantCoordinator,
    directory: Directory,
    processes: Vec<Process>,
    calls: Vec<Call>,
    links: Links,
    /// Moves that are neither committed nor failed.
    proposals: VecDeque<RangeMove>,
    /// What may still happen.
    remaining: Bounds,
    /// The violation in the last step.
    violation: Option<Violation>,
}

impl World {
    /// Returns the state in which a server at each address is known, the first one holds all keys,
    /// and their renewals are due.
    pub fn settled(bounds: &Bounds) -> Self {
        let registry = RangeRegistry::default();
        let config = GrantCoordinatorConfig::default();
        let mut world = Self {
            now: START,
            coordinator: GrantCoordinator::new(config, START, &registry),
            registry,
            directory: Directory::default(),
            processes: Vec::new(),
            calls: Vec::new(),
            links: Links::default(),
            proposals: VecDeque::new(),
            remaining: Bounds {
                time_step_count: 1,
                has_slow_commits: false,
                ..bounds.clone()
            },
            violation: None,
        };
        for address in 0..ADDRESS_COUNT {
            let incarnation =
                ServerIncarnation::new(format!("server-{address}"), bounds.first_start_ms);
            let process = Process::start(incarnation.clone(), address);
            world.processes.push(process);
            world.directory.put(START, address, incarnation.clone());
            world.handle(GrantEvent::Announced(incarnation));
        }
        for index in 0..bounds.range_count {
            let first = index * KEYS_PER_RANGE;
            world.handle(GrantEvent::Transfer(Transfer {
                service: SERVICE.into(),
                range: KeyRange::new(first, first + KEYS_PER_RANGE - 1),
                from: None,
                to: world.processes[0].incarnation.clone(),
            }));
            world.run(Action::Exchange(0));
        }
        world.pass(TimeStep::RenewalInterval);
        world.remaining = bounds.clone();
        world
    }

    /// Returns the violation in the last step.
    pub fn violation(&self) -> Option<Violation> {
        self.violation
    }

    /// Returns a number that differs between different states.
    pub fn fingerprint(&self) -> u64 {
        let mut state = format!("{self:?}");
        for counter in COUNTERS {
            let (before, after) = state.split_once(counter).expect("a counter");
            let after = after.trim_start_matches(|digit: char| digit.is_ascii_digit());
            state = [before, after].concat();
        }
        fingerprint_of(&[state.as_bytes()])
    }

    /// Returns the steps that may come next.
    pub fn possible_actions(&self) -> Vec<Action> {
        let mut actions = Vec::new();
        for index in 0..self.calls.len() {
            self.add_call_actions(index, &mut actions);
        }
        for address in 0..self.remaining.restart_address_count {
            if self.running_at(address).is_some() {
                if self.remaining.restart_count > 0 {
                    actions.push(Action::End(address));
                }
            } else if self.remaining.restart_count > 0 {
                let successors = self.remaining.successors.iter();
                actions.extend(successors.map(|kind| Action::Start(address, *kind)));
            }
        }
        actions.extend((0..self.processes.len()).map(Action::Hear));
        self.add_transfers(&mut actions);
        if !self.proposals.is_empty() {
            actions.extend([Action::Commit, Action::FailMove]);
        }
        if self.remaining.leader_change_count > 0 {
            actions.push(Action::ChangeLeader);
        }
        if self.remaining.time_step_count > 0 {
            actions.extend(TimeStep::ALL.map(Action::Pass));
        }
        actions
    }

    fn add_call_actions(&self, index: usize, actions: &mut Vec<Action>) {
        let call = &self.calls[index];
        match call.stage {
            CallStage::Sent => {
                actions.push(Action::Exchange(index));
                actions.push(Action::Arrive(index));
            }
            CallStage::Arrived { .. } => actions.push(Action::Apply(index)),
            CallStage::Applied { .. } => actions.push(Action::Answer(index)),
        }
        if call.is_awaited {
            actions.push(Action::Break(index));
        }
    }

    fn add_transfers(&self, actions: &mut Vec<Action>) {
        if self.remaining.transfer_count == 0 {
            return;
        }
        for owned in self.registry.ranges(SERVICE) {
            let known = self.processes.iter().enumerate().filter(|(_, process)| {
                self.directory.has(&process.incarnation) && process.incarnation != owned.owner
            });
            let first = owned.range.first;
            actions.extend(known.map(|(to, _)| Action::Transfer { first, to }));
        }
    }

    /// Carries out one step.
    pub fn run(&mut self, action: Action) {
        self.violation = None;
        match action {
            Action::Exchange(index) => {
                if self.arrive(index) {
                    self.apply(index);
                    self.answer(index);
                }
            }
            Action::Arrive(index) => {
                self.arrive(index);
            }
            Action::Apply(index) => self.apply(index),
            Action::Answer(index) => self.answer(index),
            Action::Break(index) => self.break_connection(index),
            Action::End(address) => self.end(address),
            Action::Start(address, successor) => self.start(address, successor),
            Action::Hear(process) => self.hear(process),
            Action::Transfer { first, to } => self.transfer(first, to),
            Action::Commit => self.commit(),
            Action::FailMove => self.fail_move(),
            Action::ChangeLeader => self.change_leader(),
            Action::Pass(step) => self.pass(step),
        }
        if self.violation.is_none() && self.has_two_holders() {
            self.violation = Some(Violation::TwoHolders);
        }
    }

    fn running_at(&self, address: AddressIndex) -> Option<ProcessIndex> {
        let mut processes = self.processes.iter();
        processes.position(|process| process.address == address && process.is_running)
    }

    fn has_two_holders(&self) -> bool {
        let mut ranges = self.registry.ranges(SERVICE);
        ranges.any(|owned| {
            let processes = self.processes.iter();
            let holders = processes.filter(|process| process.holds(self.now, owned.range.first));
            holders.count() > 1
        })
    }

    /// Has a call arrive. Returns `false` if it can't.
    fn arrive(&mut self, index: usize) -> bool {
        let process = match self.receiver(&self.calls[index]) {
            Ok(process) => process,
            Err(outcome) => {
                self.end_call(index, outcome);
                return false;
            }
        };
        let at = self.now;
        self.calls[index].stage = CallStage::Arrived { process, at };
        true
    }

    /// Returns the process that a call reaches now, or how the call ends.
    fn receiver(&self, call: &Call) -> Result<ProcessIndex, CallOutcome> {
        let is_running = |process: ProcessIndex| self.processes[process].is_running;
        match call.route {
            CallRoute::OpenLink(_, process) if is_running(process) => Ok(process),
            CallRoute::OpenLink(..) | CallRoute::ClosedLink => Err(CallOutcome::LinkLost),
            CallRoute::Address => self
                .running_at(call.address)
                .ok_or(CallOutcome::ConnectionRefused),
        }
    }

    fn apply(&mut self, index: usize) {
        let CallStage::Arrived { process, at } = self.calls[index].stage else {
            return;
        };
        let Call { to, content, .. } = self.calls[index].clone();
        let outcome = self.processes[process].apply(at, &to, &content);
        let is_done = matches!(outcome, CallOutcome::Done { .. });
        self.calls[index].stage = CallStage::Applied { process, outcome };
        if let GrantCall::Grant { range, fence, .. } = content
            && is_done
            && self.processes[process].holds(self.now, range.first)
        {
            let mut others = self.processes.iter().enumerate();
            let is_used = others.any(|(other, state)| {
                let known = state.fences.get(&range.first);
                other != process && known.is_some_and(|known| *known >= fence)
            });
            if is_used {
                self.violation = Some(Violation::UsedFence);
            }
        }
        if !self.calls[index].is_awaited {
            self.calls.remove(index);
        }
    }

    fn answer(&mut self, index: usize) {
        let Some(call) = self.calls.get(index) else {
            return;
        };
        let CallStage::Applied { process, outcome } = call.stage.clone() else {
            return;
        };
        let is_grant = matches!(call.content, GrantCall::Grant { .. });
        let used_link = match call.route {
            CallRoute::OpenLink(link, _) => Some(link),
            CallRoute::ClosedLink | CallRoute::Address => None,
        };
        let is_kept = is_grant && call.is_awaited && self.processes[process].is_running;
        let outcome = match outcome {
            CallOutcome::Done { handover, .. } if is_kept => {
                let link = used_link.unwrap_or_else(|| self.links.add(process));
                CallOutcome::Done {
                    handover,
                    link: Some(link),
                }
            }
            outcome => outcome,
        };
        self.end_call(index, outcome);
    }

    fn break_connection(&mut self, index: usize) {
        let call = &self.calls[index];
        let outcome = match (&call.stage, call.route) {
            (CallStage::Sent, CallRoute::OpenLink(..) | CallRoute::ClosedLink) => {
                CallOutcome::LinkLost
            }
            (CallStage::Sent, _) => CallOutcome::Unreachable,
            (CallStage::Arrived { .. } | CallStage::Applied { .. }, _) => CallOutcome::Unanswered,
        };
        if let CallRoute::OpenLink(link, _) = call.route {
            self.links.close(link);
        }
        if !matches!(self.calls[index].stage, CallStage::Arrived { .. }) {
            self.end_call(index, outcome);
            return;
        }
        let id = self.calls[index].id;
        self.calls[index].is_awaited = false;
        self.handle(GrantEvent::CallEnded { call: id, outcome });
    }

    fn end_call(&mut self, index: usize, outcome: CallOutcome) {
        let call = self.calls.remove(index);
        if call.is_awaited {
            let call = call.id;
            self.handle(GrantEvent::CallEnded { call, outcome });
        }
    }

    fn end(&mut self, address: AddressIndex) {
        let Some(process) = self.running_at(address) else {
            return;
        };
        self.processes[process].end();
        while let Some(index) = self.calls.iter().position(|call| call.waits_at(process)) {
            self.end_call(index, CallOutcome::Unanswered);
        }
        self.links.close_all_to(process);
    }

    fn start(&mut self, address: AddressIndex, successor: Successor) {
        self.remaining.restart_count -= 1;
        let mut processes = self.processes.iter().rev();
        let former = processes.find(|process| process.address == address);
        let former = former.expect("a former process").incarnation.clone();
        let other_server = format!("server-{}", self.processes.len());
        let later = former.started_at_ms + 1;
        let incarnation = match successor {
            Successor::OtherServer => ServerIncarnation::new(other_server, later),
            Successor::OtherServerSameStart => {
                ServerIncarnation::new(other_server, former.started_at_ms)
            }
            Successor::SameServer => ServerIncarnation::new(former.server, later),
        };
        self.processes.push(Process::start(incarnation, address));
    }

    fn hear(&mut self, process: ProcessIndex) {
        let Process {
            incarnation,
            address,
            ..
        } = self.processes[process].clone();
        match self.directory.hear(self.now, address, &incarnation) {
            Heard::Refused => {}
            Heard::Known => self.handle(GrantEvent::Announced(incarnation)),
            Heard::Replaces(former) => {
                let is_same_server = former.server == incarnation.server;
                self.handle(GrantEvent::Ended {
                    incarnation: former,
                    successor: is_same_server.then(|| incarnation.clone()),
                });
                self.handle(GrantEvent::Announced(incarnation));
            }
        }
    }

    fn transfer(&mut self, first: Key, to: ProcessIndex) {
        self.remaining.transfer_count -= 1;
        let owned = self.registry.owner(SERVICE, first).expect("an owner");
        self.handle(GrantEvent::Transfer(Transfer {
            service: SERVICE.into(),
            range: owned.range,
            from: Some(owned.owner.clone()),
            to: self.processes[to].incarnation.clone(),
        }));
    }

    fn commit(&mut self) {
        if let Some(change) = self.proposals.pop_front() {
            let event = self.applied(&change);
            self.handle(event);
        }
    }

    fn fail_move(&mut self) {
        if let Some(change) = self.proposals.pop_front() {
            self.handle(move_failed(&change));
        }
    }

    /// Applies a move to the registry and returns what the leader is told.
    fn applied(&mut self, change: &RangeMove) -> GrantEvent {
        match self.registry.apply(change) {
            Ok(_) => GrantEvent::RegistryChanged,
            Err(_) => move_failed(change),
        }
    }

    fn change_leader(&mut self) {
        self.remaining.leader_change_count -= 1;
        self.calls
            .retain(|call| !matches!(call.stage, CallStage::Applied { .. }));
        for call in &mut self.calls {
            call.is_awaited = false;
        }
        let config = GrantCoordinatorConfig::default();
        self.coordinator = GrantCoordinator::new(config, self.now, &self.registry);
        self.links.close_all();
        self.proposals.clear();
        self.directory.on_leader_change(self.now);
    }

    fn pass(&mut self, step: TimeStep) {
        self.remaining.time_step_count -= 1;
        let end = self.now + time_of(step);
        let is_late = |call: &Call| call.is_awaited && call.deadline() < end;
        while let Some(index) = self.calls.iter().position(is_late) {
            self.now = self.now.max(self.calls[index].deadline());
            self.break_connection(index);
        }
        self.now = end;
        self.calls.retain(|call| call.may_act(end));
        self.directory.forget_old_announcements(end);
        for process in &mut self.processes {
            process.forget_expired(end);
        }
        self.handle(GrantEvent::Tick);
    }

    /// Has the leader handle an event, and what follows from it at once.
    fn handle(&mut self, event: GrantEvent) {
        let mut events = vec![event];
        while let Some(event) = events.pop() {
            for effect in self.coordinator.reduce(self.now, event, &self.registry) {
                match effect {
                    GrantEffect::Propose(change) if self.remaining.has_slow_commits => {
                        self.proposals.push_back(change);
                    }
                    GrantEffect::Propose(change) => events.push(self.applied(&change)),
                    GrantEffect::Call {
                        call,
                        to,
                        content,
                        link,
                        ..
                    } => self.send(call, to, content, link),
                }
            }
        }
    }

    fn send(
        &mut self,
        id: CallId,
        to: ServerIncarnation,
        content: GrantCall,
        required: Option<LinkId>,
    ) {
        let route = match required.map(|link| (link, self.links.process(link))) {
            Some((link, Some(process))) => CallRoute::OpenLink(link, process),
            Some((_, None)) => CallRoute::ClosedLink,
            None => CallRoute::Address,
        };
        let mut processes = self.processes.iter();
        let process = processes.find(|process| process.incarnation == to);
        let address = process.expect("a known process").address;
        self.calls.push(Call {
            id,
            is_awaited: true,
            to,
            address,
            content,
            route,
            sent_at: self.now,
            stage: CallStage::Sent,
        });
    }
}

fn move_failed(change: &RangeMove) -> GrantEvent {
    GrantEvent::MoveFailed {
        service: change.service.clone(),
        first: change.range.first,
    }
}

fn time_of(step: TimeStep) -> Duration {
    let grant_expiry = GrantCoordinatorConfig::default().grant_expiry();
    match step {
        TimeStep::CallTimeout => CALL_TIMEOUT,
        TimeStep::RenewalInterval => RENEWAL_INTERVAL,
        TimeStep::GrantExpiry => grant_expiry,
        TimeStep::GrantExpiryAfterTimeout => grant_expiry.saturating_sub(CALL_TIMEOUT),
    }
}
