//! Runs a request path against fakes in virtual time and checks the invariants.

mod effects;

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use chicory_dispatch::{
    Announcement, AnnouncementAnswer, AnnouncementError, ConnectionId, Effect, Event, Outcome,
    Refusal, RefusalReason, RequestHead, RequestPath, RequestPathConfig,
};
use chicory_ownership::{ServerRecord, ViewChange};
use chicory_types::{FencingToken, MonoTime, RequestId, ServerId};

use crate::support::fake_group::FakeGroup;
use crate::support::fake_server::FakeServer;
use crate::support::fixtures::{VM, base_view, dispatcher, ms, owned, record, slots};

const NETWORK_DELAY: Duration = Duration::from_millis(1);
const CARRY_OUT_DELAY: Duration = Duration::from_micros(30);
const PROBE_TIMEOUT: Duration = Duration::from_millis(300);

/// The final effect of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Final {
    Refused(Refusal),
    Stored,
    Forwarded,
}

/// An open connection to a fake server, with the request in flight on it.
#[derive(Clone, Debug)]
struct Link {
    server: ServerId,
    request: Option<RequestId>,
}

/// A request path with its fake servers, its fake zone group and the effects it returned.
pub struct World {
    pub path: RequestPath,
    pub now: MonoTime,
    pub group: FakeGroup,
    pub servers: BTreeMap<ServerId, FakeServer>,
    pub finals: BTreeMap<RequestId, Final>,
    pub finished: BTreeMap<RequestId, MonoTime>,
    pub broken: Vec<RequestId>,
    pub writes: Vec<(MonoTime, RequestId, ServerId, Option<FencingToken>)>,
    pub effects: Vec<(MonoTime, Effect)>,
    pub is_stopped: bool,
    lease_end: MonoTime,
    gone: BTreeSet<RequestId>,
    heads: BTreeMap<RequestId, RequestHead>,
    links: BTreeMap<ConnectionId, Link>,
    due: BTreeMap<(MonoTime, u64), (Option<ConnectionId>, Event)>,
    order_runs: BTreeMap<RequestId, u32>,
    sequence: u64,
}

impl World {
    /// Creates a world in which this process dispatches to `servers`, given as pairs of service and
    /// server.
    pub fn new(servers: &[(&str, &str)]) -> Self {
        Self::with_config(crate::support::fixtures::config().build(), servers)
    }

    pub fn with_config(config: RequestPathConfig, servers: &[(&str, &str)]) -> Self {
        let mut view = base_view();
        for (index, (service, name)) in servers.iter().enumerate() {
            view.push(ViewChange::ServerUpserted(record(service, name)));
            view.push(dispatcher(name, Some(VM), 1 + index as u64));
        }
        if let Some((service, name)) = servers.iter().find(|(s, _)| *s == super::BOARD) {
            view.push(slots(service, owned(name, 1)));
        }
        let mut world = Self {
            path: RequestPath::new(config, Duration::ZERO),
            now: Duration::ZERO,
            group: FakeGroup::new(view),
            servers: servers
                .iter()
                .map(|(_, name)| ((*name).to_owned(), FakeServer::new(ms(5))))
                .collect(),
            finals: BTreeMap::new(),
            finished: BTreeMap::new(),
            broken: Vec::new(),
            writes: Vec::new(),
            effects: Vec::new(),
            is_stopped: false,
            lease_end: Duration::ZERO,
            gone: BTreeSet::new(),
            heads: BTreeMap::new(),
            links: BTreeMap::new(),
            due: BTreeMap::new(),
            order_runs: BTreeMap::new(),
            sequence: 0,
        };
        world.feed(Event::Tick);
        world.run_for(ms(10));
        world
    }

    pub fn server(&mut self, name: &str) -> &mut FakeServer {
        self.servers.get_mut(name).expect("known server")
    }

    pub fn arrive(&mut self, head: RequestHead) {
        self.heads.insert(head.request, head.clone());
        self.feed(Event::RequestArrived(head));
    }

    /// Sends `count` requests, one every `gap`.
    pub fn arrive_many(
        &mut self,
        first: u64,
        count: u64,
        gap: Duration,
        head: impl Fn(u64) -> RequestHead,
    ) {
        for request in first..first + count {
            self.arrive(head(request));
            self.run_for(gap);
        }
    }

    pub fn change_view(&mut self, changes: impl IntoIterator<Item = ViewChange>) {
        self.group.pending.extend(changes);
        self.run_for(ms(450));
    }

    /// Disconnects the caller of a request that has no final effect yet.
    pub fn leave(&mut self, request: RequestId) {
        if self.heads.contains_key(&request) && !self.finals.contains_key(&request) {
            self.gone.insert(request);
            self.feed(Event::CallerGone { request });
        }
    }

    /// Announces a server and returns the answer.
    pub fn announce_record(
        &mut self,
        record: ServerRecord,
        known_grants_version: u64,
    ) -> Result<AnnouncementAnswer, AnnouncementError> {
        self.feed(Event::Announced(Announcement {
            exchange: 1,
            record,
            known_grants_version,
        }));
        let effects = self.effects.iter().rev().map(|(_, e)| e);
        let mut answers = effects.filter_map(|e| match e {
            Effect::AnswerAnnouncement { answer, .. } => Some(answer.clone()),
            _ => None,
        });
        answers.next().expect("an answer to the announcement")
    }

    /// Announces a registered server without a change.
    pub fn announce(&mut self, name: &str, known_grants_version: u64) -> AnnouncementAnswer {
        let record = self.registered(name);
        self.announce_record(record, known_grants_version)
            .expect("accepted")
    }

    /// Announces a registered server with a change.
    pub fn announce_as(&mut self, name: &str, change: impl FnOnce(&mut ServerRecord)) {
        let mut record = self.registered(name);
        change(&mut record);
        self.announce_record(record, 0).expect("accepted");
    }

    fn registered(&self, name: &str) -> ServerRecord {
        let known = self.path.directory().server_by_id(name);
        known
            .and_then(|s| s.record.clone())
            .expect("registered server")
    }

    /// Delivers an event and carries out its effects.
    pub fn feed(&mut self, event: Event) {
        let effects = self.path.reduce(self.now, event);
        for effect in effects {
            self.carry_out(effect);
        }
        self.check_limits();
    }

    /// Advances virtual time by `span`, with all events and wake-ups that are due.
    pub fn run_for(&mut self, span: Duration) {
        let end = self.now + span;
        loop {
            let wake = self.path.next_wakeup().max(self.now);
            let next = self.due.first_key_value().map(|((at, _), _)| *at);
            let at = next.map_or(wake, |next| next.min(wake));
            if at > end {
                break;
            }
            self.now = at;
            match self.due.first_entry() {
                Some(entry) if entry.key().0 <= at => {
                    let (_, event) = entry.remove();
                    self.deliver(event);
                }
                _ => self.feed(Event::Tick),
            }
            if at == wake {
                // The next wake-up must be later, or the loop would never end.
                self.feed(Event::Tick);
                assert!(
                    self.path.next_wakeup() > self.now,
                    "the next wake-up is not later than now"
                );
            }
        }
        self.now = end;
    }

    fn deliver(&mut self, event: Event) {
        if let Event::RenewAnswered { sent_at, .. } = &event {
            let end = sent_at.saturating_sub(CARRY_OUT_DELAY) + self.group.lease;
            self.lease_end = self.lease_end.max(end);
        }
        if let Event::AnswerFinished { request, .. } = &event {
            self.finished.insert(*request, self.now);
            self.release_connection(*request);
        }
        if let Event::ExchangeFailed { request, .. } = &event {
            let request = *request;
            self.links.retain(|_, link| link.request != Some(request));
        }
        if let Event::ConnectFailed { connection, .. } | Event::ConnectionClosed { connection } =
            &event
        {
            self.links.remove(connection);
        }
        self.feed(event);
    }

    fn release_connection(&mut self, request: RequestId) {
        for link in self.links.values_mut() {
            link.request.take_if(|running| *running == request);
        }
    }

    fn schedule(&mut self, delay: Duration, connection: Option<ConnectionId>, event: Event) {
        self.sequence += 1;
        let key = (self.now + delay, self.sequence);
        self.due.insert(key, (connection, event));
    }

    fn check_limits(&mut self) {
        for (name, server) in &mut self.servers {
            let links = self.links.values().filter(|link| link.server == *name);
            let (mut open, mut running) = (0, 0);
            for link in links {
                open += 1;
                running += usize::from(link.request.is_some());
            }
            server.max_in_flight = server.max_in_flight.max(running);
            server.max_connections = server.max_connections.max(open);
            assert!(
                running <= server.in_flight_limit,
                "{name}: {running} in flight"
            );
            assert!(
                open <= server.connection_limit,
                "{name}: {open} connections"
            );
        }
    }

    /// Returns reason and outcome of the refusal of a request, if it was refused.
    pub fn refusal(&self, request: RequestId) -> Option<(RefusalReason, Outcome)> {
        match self.finals.get(&request)? {
            Final::Refused(refusal) => Some((refusal.reason, refusal.outcome)),
            _ => None,
        }
    }

    pub fn is_forwarded(&self, request: RequestId) -> bool {
        self.finals.get(&request) == Some(&Final::Forwarded)
    }

    /// Returns how many of the `count` requests from `first` were answered completely.
    pub fn completed(&self, first: u64, count: u64) -> usize {
        self.finished.range(first..first + count).count()
    }

    pub fn count_effects(&self, is_counted: impl Fn(&Effect) -> bool) -> usize {
        self.effects.iter().filter(|(_, e)| is_counted(e)).count()
    }

    pub fn all_ended(&self) -> bool {
        self.heads
            .keys()
            .all(|id| self.finals.contains_key(id) || self.gone.contains(id))
            && self.path.open_requests() == 0
    }
}
