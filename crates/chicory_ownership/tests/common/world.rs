//! Simulation of zones, processes, servers and the messages between them, in virtual time.

use std::collections::BTreeMap;
use std::time::Duration;

use chicory_ownership::*;
use chicory_table::{EditOutcome, TableChange, TableEdit};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

use super::clock_model::ClockModel;
use super::entry_model::EntryModel;
use super::fixtures::*;
use super::message::Message;
use super::server_model::ServerModel;
use super::world_groups::{GlobalGroup, ZoneGroup};

pub const STEP: Duration = Duration::from_millis(20);
pub const ZONES: [&str; 3] = ["a", "b", "c"];

/// Messages in flight, by time of arrival and then order of sending.
type InFlight = BTreeMap<(Duration, u64), Message>;

pub struct World {
    pub now: Duration,
    pub rng: StdRng,
    pub global: GlobalGroup,
    pub zones: BTreeMap<String, ZoneGroup>,
    pub entries: Vec<EntryModel>,
    pub servers: Vec<ServerModel>,
    pub in_flight: InFlight,
    pub loss_percent: u32,
    pub copy_percent: u32,
    pub edits: Vec<(TableEdit, EditOutcome)>,
    pub tables: BTreeMap<u64, chicory_table::Table>,
    /// Claimants that were granted the right to run an order, by order key.
    pub runs: BTreeMap<String, Vec<Claimant>>,
    pub claim_answers: Vec<(ClaimRequest, ClaimAnswer)>,
    sent: u64,
}

impl World {
    /// Creates three zones, each with two entry processes and two servers per service.
    pub fn new(seed: u64) -> Self {
        let mut world = Self {
            now: Duration::from_secs(1),
            rng: StdRng::seed_from_u64(seed),
            global: GlobalGroup::new(),
            zones: BTreeMap::new(),
            entries: Vec::new(),
            servers: Vec::new(),
            in_flight: BTreeMap::new(),
            loss_percent: 0,
            copy_percent: 0,
            edits: Vec::new(),
            tables: BTreeMap::new(),
            runs: BTreeMap::new(),
            claim_answers: Vec::new(),
            sent: 0,
        };
        for zone in ZONES {
            world.add_zone(zone);
        }
        let all = TableChange::ReplaceAll(content(&ZONES));
        world.edit(edit("first", 0, vec![all]));
        world
    }

    fn add_zone(&mut self, zone: &str) {
        self.zones.insert(zone.to_owned(), ZoneGroup::new(zone, 1));
        for number in 0..2 {
            let record = entry_record(&format!("{zone}-vm{number}"), 1);
            let clock = self.any_clock();
            self.entries.push(EntryModel::new(zone, record, clock));
            for service in [BOARD, ARCHIVE] {
                let name = format!("{service}-{zone}{number}");
                let record = server_record(&name, service, zone, 1);
                let clock = self.any_clock();
                self.servers.push(ServerModel::new(record, clock));
            }
        }
    }

    pub fn any_clock(&mut self) -> ClockModel {
        ClockModel::new(self.rng.random_range(-9..=9))
    }

    pub fn edit(&mut self, edit: TableEdit) {
        let at = self.now + self.commit_delay();
        let command = GlobalCommand::EditTable { edit, at_ms: 0 };
        self.global.propose(at, vec![command]);
    }

    pub fn claim(&mut self, zone: &str, request: ClaimRequest) {
        let at = self.now + self.commit_delay();
        let now = self.now;
        let group = self.zones.get_mut(zone).unwrap();
        let Some(leader) = &mut group.leader else {
            return;
        };
        let at_ms = leader.log_clock_ms(group.clock.at(now), &group.state);
        group.propose(at, vec![ZoneCommand::Claim { request, at_ms }]);
    }

    pub fn run_for(&mut self, span: Duration) {
        let end = self.now + span;
        while self.now < end {
            self.step();
        }
    }

    pub fn step(&mut self) {
        self.now += STEP;
        self.deliver();
        self.run_global();
        let zones: Vec<String> = self.zones.keys().cloned().collect();
        for zone in zones {
            self.run_zone(&zone);
        }
        self.run_entries();
        self.run_servers();
        self.check();
    }

    fn commit_delay(&mut self) -> Duration {
        Duration::from_millis(self.rng.random_range(1..60))
    }

    pub fn send(&mut self, message: Message) {
        if self.rng.random_range(0..100) < self.loss_percent {
            return;
        }
        if self.rng.random_range(0..100) < self.copy_percent {
            let late = Duration::from_millis(self.rng.random_range(100..4_000));
            self.enqueue(late, message.clone());
        }
        let delay = Duration::from_millis(self.rng.random_range(1..30));
        self.enqueue(delay, message);
    }

    fn enqueue(&mut self, delay: Duration, message: Message) {
        self.sent += 1;
        self.in_flight
            .insert((self.now + delay, self.sent), message);
    }

    fn deliver(&mut self) {
        while let Some(((at, sent), message)) = self.in_flight.pop_first() {
            if at > self.now {
                self.in_flight.insert((at, sent), message);
                return;
            }
            if let Some(until) = self.paused_receiver(&message) {
                self.in_flight.insert((until, sent), message);
                continue;
            }
            self.receive(message);
        }
    }

    /// Returns until when the receiver of a message is paused, or `None` if it is not paused.
    fn paused_receiver(&self, message: &Message) -> Option<Duration> {
        let until = match message {
            Message::Renewed { entry, .. } | Message::Announce { entry, .. } => {
                self.entries[*entry].paused_until
            }
            Message::Granted { server, .. } => self.servers[*server].frozen_until,
            _ => return None,
        };
        (until > self.now).then_some(until)
    }

    fn receive(&mut self, message: Message) {
        match message {
            Message::Renew {
                entry,
                incarnation,
                sequence,
                sent_at,
                request,
            } => self.on_renew(entry, incarnation, sequence, sent_at, &request),
            Message::Renewed {
                entry,
                incarnation,
                sequence,
                sent_at,
                answer,
            } => {
                let process = &mut self.entries[entry];
                if process.is_alive && process.record.incarnation == incarnation {
                    process.on_renewed(sequence, sent_at, answer);
                }
            }
            Message::Sync {
                sent_at,
                term,
                request,
            } => self.on_sync(sent_at, term, &request),
            Message::Synced {
                zone,
                sent_at,
                term,
                answer,
            } => self.on_synced(&zone, sent_at, term, &answer),
            Message::Announce {
                server,
                entry,
                sent_at,
                record,
            } => self.on_announce(server, entry, sent_at, &record),
            Message::Granted {
                server,
                incarnation,
                sent_at,
                grant,
            } => {
                let model = &mut self.servers[server];
                if model.is_alive && model.record.incarnation == incarnation {
                    model.on_grant(sent_at, grant);
                }
            }
        }
    }

    fn on_renew(
        &mut self,
        entry: usize,
        incarnation: u64,
        sequence: u64,
        sent_at: Duration,
        request: &RenewRequest,
    ) {
        let commit_at = self.now + self.commit_delay();
        let zone = self.entries[entry].zone.clone();
        let group = self.zones.get_mut(&zone).unwrap();
        let Some(leader) = &mut group.leader else {
            return;
        };
        let (answer, commands) = leader.on_renew(group.clock.at(self.now), &group.state, request);
        group.propose(commit_at, commands);
        self.send(Message::Renewed {
            entry,
            incarnation,
            sequence,
            sent_at,
            answer,
        });
    }

    fn on_sync(&mut self, sent_at: Duration, term: u64, request: &ZoneSyncRequest) {
        let is_cut_off = self.zones[&request.zone].is_cut_off;
        let Some(leader) = self.global.leader.as_mut().filter(|_| !is_cut_off) else {
            return;
        };
        let local = self.global.clock.at(self.now);
        let answer = leader.on_zone_sync(local, &self.global.state, request);
        self.send(Message::Synced {
            zone: request.zone.clone(),
            sent_at,
            term,
            answer,
        });
    }

    fn on_synced(&mut self, zone: &str, sent_at: Duration, term: u64, answer: &ZoneSyncAnswer) {
        let commit_at = self.now + self.commit_delay();
        let group = self.zones.get_mut(zone).unwrap();
        if group.is_cut_off || group.term != term {
            return;
        }
        if let Some(leader) = &mut group.leader {
            let local = group.clock.at(self.now);
            let commands = leader.on_sync_answer(local, sent_at, &group.state, answer);
            group.propose(commit_at, commands);
        }
    }

    fn on_announce(
        &mut self,
        server: usize,
        entry: usize,
        sent_at: Duration,
        record: &ServerRecord,
    ) {
        let process = &mut self.entries[entry];
        if !process.is_alive {
            return;
        }
        let named = process.dispatchers.get(&record.server).cloned().flatten();
        let grant = process.on_announce(self.now, record);
        let dispatcher = named.and_then(|vm| self.entries.iter().position(|e| e.record.vm == vm));
        self.servers[server].dispatcher = dispatcher;
        if let Some(grant) = grant {
            self.send(Message::Granted {
                server,
                incarnation: record.incarnation,
                sent_at,
                grant,
            });
        }
    }

    fn run_global(&mut self) {
        let mut outcomes = self.global.apply_until(self.now);
        if self.global.leader.is_none() && self.now >= self.global.next_election {
            let clock = self.any_clock();
            outcomes.extend(self.global.elect(self.now, clock));
        }
        for (command, outcome) in outcomes {
            if let (GlobalCommand::EditTable { edit, .. }, GlobalOutcome::Edited(outcome)) =
                (command, outcome)
            {
                self.edits.push((edit, outcome));
            }
        }
        let table = self.global.state.table();
        self.tables.insert(table.revision, table.clone());
        if self.now < self.global.next_plan {
            return;
        }
        self.global.next_plan = self.now + Duration::from_millis(200);
        let at = self.now + self.commit_delay();
        let local = self.global.clock.at(self.now);
        if let Some(leader) = &mut self.global.leader {
            let commands = leader.plan(local, 0, &self.global.state);
            self.global.propose(at, commands);
        }
    }

    fn run_zone(&mut self, zone: &str) {
        let clock = self.any_clock();
        let commit_at = self.now + self.commit_delay();
        let now = self.now;
        let group = self.zones.get_mut(zone).unwrap();
        let mut outcomes = group.apply_until(now);
        if group.leader.is_none() && now >= group.next_election {
            outcomes.extend(group.elect(now, clock));
        }
        let local = group.clock.at(now);
        let mut sync = None;
        if let Some(leader) = &mut group.leader {
            if now >= group.next_sync {
                group.next_sync = now + RENEW_INTERVAL;
                sync =
                    (!group.is_cut_off).then(|| leader.sync_request(&group.state, "leader".into()));
            }
            if now >= group.next_plan {
                let wakeup = leader.next_wakeup(local);
                group.next_plan = now + wakeup.saturating_sub(local);
                let commands = leader.plan(local, &group.state);
                group.propose(commit_at, commands);
            }
        }
        let term = group.term;
        if let Some(request) = sync {
            self.send(Message::Sync {
                sent_at: local,
                term,
                request,
            });
        }
        self.record_claims(outcomes);
    }

    fn record_claims(&mut self, outcomes: Vec<(ZoneCommand, ZoneOutcome)>) {
        for (command, outcome) in outcomes {
            let (ZoneCommand::Claim { request, .. }, ZoneOutcome::Claimed(answer)) =
                (command, outcome)
            else {
                continue;
            };
            if answer == ClaimAnswer::Granted {
                let runs = self.runs.entry(request.order_key.clone()).or_default();
                if !runs.contains(&request.claimant) {
                    runs.push(request.claimant.clone());
                }
            }
            self.claim_answers.push((request, answer));
        }
    }

    fn run_entries(&mut self) {
        for index in 0..self.entries.len() {
            let now = self.now;
            let entry = &mut self.entries[index];
            let is_idle = !entry.is_alive || now < entry.paused_until || now < entry.next_renew;
            if is_idle {
                continue;
            }
            entry.next_renew = now + RENEW_INTERVAL;
            entry.sequence += 1;
            let message = Message::Renew {
                entry: index,
                incarnation: entry.record.incarnation,
                sequence: entry.sequence,
                sent_at: entry.clock.at(now),
                request: entry.renewal(now),
            };
            self.send(message);
        }
    }

    fn run_servers(&mut self) {
        for index in 0..self.servers.len() {
            let server = &self.servers[index];
            let is_frozen = self.now < server.frozen_until;
            if !server.is_alive || is_frozen || self.now < server.next_announce {
                continue;
            }
            let known = server.dispatcher;
            let entry = known.filter(|entry| self.entries[*entry].is_alive);
            let entry = entry.unwrap_or_else(|| self.any_entry_of(index));
            let server = &mut self.servers[index];
            server.next_announce = self.now + Duration::from_millis(300);
            let message = Message::Announce {
                server: index,
                entry,
                sent_at: server.clock.at(self.now),
                record: server.record.clone(),
            };
            self.send(message);
        }
    }

    fn any_entry_of(&mut self, server: usize) -> usize {
        let zone = &self.servers[server].record.zone;
        let local = (0..self.entries.len()).filter(|e| self.entries[*e].zone == *zone);
        let local: Vec<usize> = local.collect();
        local[self.rng.random_range(0..local.len())]
    }
}
