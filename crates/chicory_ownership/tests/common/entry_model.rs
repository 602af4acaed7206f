//! Model of an entry process, which holds a dispatcher lease.

use std::collections::BTreeMap;
use std::time::Duration;

use chicory_ownership::*;
use chicory_types::{ClockRateMargin, FencingToken, MonoTime, SlotRun};

use super::clock_model::ClockModel;
use super::message::ServerGrant;

pub const SERVER_LEASE: Duration = Duration::from_millis(1_500);
pub const DETECTION: Duration = Duration::from_millis(900);

pub struct EntryModel {
    pub zone: String,
    pub record: EntryRecord,
    pub clock: ClockModel,
    pub is_alive: bool,
    pub paused_until: Duration,
    pub next_renew: Duration,
    pub sequence: u64,
    pub lease_end: MonoTime,
    pub known_view: u64,
    pub dispatchers: BTreeMap<String, Option<String>>,
    pub holds: BTreeMap<String, RunMap<SlotOwner>>,
    pub announcements: Vec<ServerRecord>,
    pub resigned: Vec<String>,
    /// Incarnation and time of the last announcement of each server.
    last_announcements: BTreeMap<String, (u64, MonoTime)>,
    leased: BTreeMap<String, MonoTime>,
    /// Server of each releasing run, and the time from which the release may be reported.
    releasing: BTreeMap<(String, SlotRun, FencingToken), (String, MonoTime)>,
}

impl EntryModel {
    pub fn new(zone: &str, record: EntryRecord, clock: ClockModel) -> Self {
        Self {
            zone: zone.to_owned(),
            record,
            clock,
            is_alive: true,
            paused_until: Duration::ZERO,
            next_renew: Duration::ZERO,
            sequence: 0,
            lease_end: MonoTime::ZERO,
            known_view: 0,
            dispatchers: BTreeMap::new(),
            holds: BTreeMap::new(),
            announcements: Vec::new(),
            resigned: Vec::new(),
            last_announcements: BTreeMap::new(),
            leased: BTreeMap::new(),
            releasing: BTreeMap::new(),
        }
    }

    /// Restarts the process after a crash, with a new incarnation and no other state.
    pub fn restart(&mut self, now: Duration) {
        let mut record = self.record.clone();
        record.incarnation += 1;
        let clock = self.clock;
        *self = Self::new(&self.zone.clone(), record, clock);
        self.next_renew = now;
    }

    pub fn has_lease(&self, now: Duration) -> bool {
        self.is_alive && self.clock.at(now) < self.lease_end
    }

    /// Returns whether the process would send requests to the server now.
    pub fn dispatches_to(&self, now: Duration, server: &str) -> bool {
        self.has_lease(now) && self.is_dispatcher(server) && !self.resigned.contains(&server.into())
    }

    fn is_dispatcher(&self, server: &str) -> bool {
        let vm = self.dispatchers.get(server).and_then(Option::as_ref);
        vm == Some(&self.record.vm)
    }

    pub fn renewal(&mut self, now: Duration) -> RenewRequest {
        let local = self.clock.at(now);
        let due = self.releasing.iter().filter(|(_, (_, at))| local >= *at);
        let released = due.map(|((service, run, _), (server, _))| ReleasedSlots {
            service: service.clone(),
            runs: vec![*run],
            server: server.clone(),
        });
        let released = released.collect();
        RenewRequest {
            entry: self.record.clone(),
            known_view: self.known_view,
            stopping: false,
            announcements: self.announcements.clone(),
            released,
            resigned: self.resigned.clone(),
            reports: self.reports(local),
        }
    }

    fn reports(&self, local: MonoTime) -> Vec<ServerReport> {
        let own = self
            .last_announcements
            .iter()
            .filter(|(s, _)| self.is_dispatcher(s));
        own.map(|(server, (incarnation, at))| ServerReport {
            server: server.clone(),
            incarnation: *incarnation,
            condition: if local < *at + DETECTION {
                ServerCondition::Up
            } else {
                ServerCondition::Down
            },
            requests: 0,
            hottest_slots: Vec::new(),
        })
        .collect()
    }

    pub fn on_renewed(&mut self, sequence: u64, sent_at: MonoTime, answer: RenewAnswer) {
        let RenewAnswer::Granted { lease, update } = answer else {
            return;
        };
        if sequence != self.sequence {
            return;
        }
        // A late copy of this answer must not be applied a second time.
        self.sequence += 1;
        self.announcements.clear();
        for change in update.changes {
            self.apply_change(change);
        }
        self.known_view = update.version;
        if !lease.is_zero() {
            let end = ClockRateMargin::lease_expiry_for_holder(sent_at, lease);
            self.lease_end = self.lease_end.max(end);
        }
    }

    fn apply_change(&mut self, change: ViewChange) {
        match change {
            ViewChange::Reset => {
                self.dispatchers.clear();
                self.holds.clear();
                self.releasing.clear();
            }
            ViewChange::DispatcherAssigned { server, vm, .. } => {
                self.resigned.retain(|resigned| *resigned != server);
                self.releasing.retain(|_, (of, _)| *of != server);
                self.dispatchers.insert(server.clone(), vm);
                self.record_releasing(&server);
            }
            ViewChange::ServerRemoved(server) => {
                self.dispatchers.remove(&server);
            }
            ViewChange::SlotsAssigned {
                service,
                runs,
                owner,
            } => {
                let holds = self.holds.entry(service.clone()).or_default();
                for run in &runs {
                    self.releasing.retain(|(of, old, _), _| {
                        *of != service || old.last < run.first || run.last < old.first
                    });
                    holds.set(*run, owner.clone());
                }
                // The change may have split a longer releasing run, whose remaining parts have to
                // be recorded again.
                let own: Vec<String> = self.dispatchers.keys().cloned().collect();
                for server in own {
                    self.record_releasing(&server);
                }
            }
            _ => {}
        }
    }

    /// Records the time from which the server's releasing runs may be reported: the lease that was
    /// granted for them must have ended.
    fn record_releasing(&mut self, server: &str) {
        if !self.is_dispatcher(server) {
            return;
        }
        let at = self.leased.get(server).copied().unwrap_or_default();
        for (service, holds) in &self.holds {
            for (run, owner) in holds.iter() {
                if let SlotOwner::Releasing { server: of, token } = owner
                    && of == server
                {
                    let key = (service.clone(), run, *token);
                    let entry = (server.to_owned(), at);
                    self.releasing.entry(key).or_insert(entry);
                }
            }
        }
    }

    /// Handles an announcement and returns the grant. The granted lease ends before that of the
    /// process itself.
    pub fn on_announce(&mut self, now: Duration, record: &ServerRecord) -> Option<ServerGrant> {
        let local = self.clock.at(now);
        let announcement = (record.incarnation, local);
        self.last_announcements
            .insert(record.server.clone(), announcement);
        if !self.announcements.contains(record) {
            self.announcements.push(record.clone());
        }
        if !self.dispatches_to(now, &record.server) {
            return None;
        }
        let left = self.lease_end.saturating_sub(local);
        let lease = SERVER_LEASE.min(left * 96 / 100);
        let end = ClockRateMargin::lease_expiry_for_grantor(local, lease);
        self.leased.insert(record.server.clone(), end);
        Some(ServerGrant {
            lease,
            slots: self.owned_slots(record),
        })
    }

    fn owned_slots(&self, record: &ServerRecord) -> RunMap<FencingToken> {
        let mut slots = RunMap::default();
        let holds = self.holds.get(&record.service);
        for (run, owner) in holds.into_iter().flat_map(RunMap::iter) {
            if let SlotOwner::Owned { server, token } = owner
                && *server == record.server
            {
                slots.set(run, *token);
            }
        }
        slots
    }
}
