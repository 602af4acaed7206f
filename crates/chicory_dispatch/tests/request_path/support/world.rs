//! Runs a request path against fakes in virtual time and checks what must always hold.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use chicory_dispatch::{
    Announcement, AnnouncementAnswer, AnnouncementError, ConnectFailure, ConnectionId, Effect,
    Event, ExchangeFailure, Outcome, ProbeResult, Refusal, RefusalReason, RequestHead,
    RequestIdEcho, RequestPath, RequestPathConfig, ServerRefusal,
};
use chicory_ownership::{ClaimResolution, ServerRecord, StoredAnswer, ViewChange};
use chicory_types::{FencingToken, MonoTime, RequestId, ServerId};

use super::fake_group::FakeGroup;
use super::fake_server::{FakeServer, Mode};
use super::fixtures::{PEER, VM, base_view, dispatcher, ms, owned, record, slots};

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

#[derive(Clone, Debug)]
struct Link {
    server: ServerId,
    request: Option<RequestId>,
}

/// A request path with its surroundings.
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
    /// A world in which this process dispatches to `servers`, each with its service.
    pub fn new(servers: &[(&str, &str)]) -> Self {
        Self::with_config(super::fixtures::config().build(), servers)
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

    /// Sends `count` requests, one each `gap`.
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

    /// The caller of a request leaves.
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
        answers.next().expect("an answer")
    }

    /// Announces a server that is registered.
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
        let known = self.path.directory().server_named(name);
        known
            .and_then(|s| s.record.clone())
            .expect("registered server")
    }

    /// Delivers an event now.
    pub fn feed(&mut self, event: Event) {
        let effects = self.path.reduce(self.now, event);
        for effect in effects {
            self.carry_out(effect);
        }
        self.check_limits();
    }

    /// Lets time pass.
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
                // The wake-up must move on, or the loop would spin.
                self.feed(Event::Tick);
                assert!(self.path.next_wakeup() > self.now, "wake-up stands still");
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
            self.free(*request);
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

    fn free(&mut self, request: RequestId) {
        for link in self.links.values_mut() {
            link.request.take_if(|running| *running == request);
        }
    }

    fn later(&mut self, delay: Duration, connection: Option<ConnectionId>, event: Event) {
        self.sequence += 1;
        let key = (self.now + delay, self.sequence);
        self.due.insert(key, (connection, event));
    }

    fn carry_out(&mut self, effect: Effect) {
        self.effects.push((self.now, effect.clone()));
        match effect {
            Effect::Refuse { request, refusal } => self.finish(request, Final::Refused(refusal)),
            Effect::AnswerStored { request, .. } => self.finish(request, Final::Stored),
            Effect::ForwardAnswer { request, .. } => self.on_forward(request),
            Effect::BreakAnswer { request } => self.broken.push(request),
            Effect::DiscardAnswer { request } => self.on_discard(request),
            Effect::Connect {
                connection, server, ..
            } => self.on_connect(connection, server),
            Effect::Close { connection } => self.on_close(connection),
            Effect::Write {
                request,
                connection,
                token,
                ..
            } => self.on_write(request, connection, token),
            Effect::Probe { server, .. } => self.on_probe(server),
            Effect::Renew { request, .. } => self.on_renew(request),
            Effect::Claim { request, claim } if self.group.answers_claims => {
                let answer = self.group.claim(claim);
                let event = Event::ClaimAnswered { request, answer };
                self.later(NETWORK_DELAY, None, event);
            }
            Effect::ResolveClaim {
                order_key,
                claimant,
                resolution,
                ..
            } => {
                let attempt = claimant.attempt;
                if resolution == ClaimResolution::NotRun {
                    assert!(!self.order_runs.contains_key(&attempt), "{attempt} ran");
                }
                self.group.resolve(&order_key, &claimant, resolution);
            }
            Effect::Stopped => self.is_stopped = true,
            _ => {}
        }
    }

    fn finish(&mut self, request: RequestId, end: Final) {
        if let Final::Refused(refusal) = end
            && refusal.outcome == Outcome::NotRun
        {
            let fingerprint = self.heads[&request].fingerprint;
            let is_shared = self
                .heads
                .values()
                .filter(|h| h.fingerprint == fingerprint)
                .count()
                > 1;
            let ran = self.servers.values().any(|s| s.runs.contains(&fingerprint));
            assert!(
                !ran || is_shared,
                "request {request} ran and is told not-run"
            );
        }
        let former = self.finals.insert(request, end);
        assert!(former.is_none(), "request {request} got two final effects");
    }

    fn on_forward(&mut self, request: RequestId) {
        self.finish(request, Final::Forwarded);
        let Some((connection, link)) = self.link_of(request) else {
            return;
        };
        if self.servers[&link.server].mode == Mode::Cut {
            let failure = ExchangeFailure::BrokenInAnswer;
            let event = Event::ExchangeFailed { request, failure };
            return self.later(ms(1), Some(connection), event);
        }
        let kept = self.heads[&request]
            .order_key
            .as_ref()
            .map(|_| StoredAnswer {
                status: 200,
                content_type: String::new(),
                body: None,
            });
        let event = Event::AnswerFinished {
            request,
            kept,
            is_reusable: true,
        };
        let transfer_time = self.servers[&link.server].transfer_time;
        self.later(transfer_time, Some(connection), event);
    }

    fn link_of(&self, request: RequestId) -> Option<(ConnectionId, Link)> {
        let mut links = self.links.iter();
        let found = links.find(|(_, link)| link.request == Some(request));
        found.map(|(id, link)| (*id, link.clone()))
    }

    fn on_discard(&mut self, request: RequestId) {
        let Some((connection, _)) = self.link_of(request) else {
            return;
        };
        self.free(request);
        self.later(
            NETWORK_DELAY,
            Some(connection),
            Event::Connected { connection },
        );
    }

    fn on_connect(&mut self, connection: ConnectionId, server: ServerId) {
        let is_dead = self.servers[&server].mode == Mode::Dead;
        let link = Link {
            server,
            request: None,
        };
        self.links.insert(connection, link);
        let event = if is_dead {
            let failure = ConnectFailure::Refused;
            Event::ConnectFailed {
                connection,
                failure,
            }
        } else {
            Event::Connected { connection }
        };
        self.later(NETWORK_DELAY, Some(connection), event);
    }

    fn on_close(&mut self, connection: ConnectionId) {
        // The server sees the end one delay later; until then the connection counts there.
        if let Some(link) = self.links.get_mut(&connection) {
            link.request = None;
        }
        self.due.retain(|_, (of, _)| *of != Some(connection));
        self.later(NETWORK_DELAY, None, Event::ConnectionClosed { connection });
    }

    fn on_write(
        &mut self,
        request: RequestId,
        connection: ConnectionId,
        token: Option<FencingToken>,
    ) {
        assert!(self.now < self.lease_end, "write without a lease");
        let link = self.links.get_mut(&connection).expect("open connection");
        assert!(link.request.is_none(), "connection carries another request");
        link.request = Some(request);
        let name = link.server.clone();
        self.writes.push((self.now, request, name.clone(), token));
        let fingerprint = self.heads[&request].fingerprint;
        let is_order = self.heads[&request].order_key.is_some();
        let server = self.servers.get_mut(&name).expect("known server");
        if connection < server.silent_below {
            return;
        }
        let mode = server.mode;
        if matches!(mode, Mode::Shedding | Mode::Frozen | Mode::Dead) {
            return self.answer_without_run(request, connection, mode);
        }
        server.runs.push(fingerprint);
        if is_order {
            let runs = self.order_runs.entry(request).or_default();
            *runs += 1;
            assert!(*runs == 1, "order {request} written twice under one claim");
        }
        self.answer(request, connection, &name, fingerprint);
    }

    fn answer_without_run(&mut self, request: RequestId, connection: ConnectionId, mode: Mode) {
        let event = match mode {
            Mode::Shedding => Event::AnswerStarted {
                request,
                status: 503,
                echo: RequestIdEcho::Matched,
                refusal: Some(ServerRefusal::Shed),
            },
            Mode::Dead => Event::ExchangeFailed {
                request,
                failure: ExchangeFailure::BrokenBeforeAnswer,
            },
            _ => return,
        };
        self.later(NETWORK_DELAY, Some(connection), event);
    }

    fn answer(
        &mut self,
        request: RequestId,
        connection: ConnectionId,
        name: &str,
        fingerprint: u64,
    ) {
        let server = &self.servers[name];
        let delay = server.service_time;
        let failed = Event::ExchangeFailed {
            request,
            failure: ExchangeFailure::BrokenBeforeAnswer,
        };
        match server.mode {
            Mode::CrashOn(poison) if poison == fingerprint => self.crash(name),
            Mode::Breaking => self.later(delay, Some(connection), failed),
            mode => {
                let is_crossed = mode == Mode::Crossed;
                let event = Event::AnswerStarted {
                    request,
                    status: if mode == Mode::Failing { 503 } else { 200 },
                    echo: if is_crossed {
                        RequestIdEcho::Mismatched
                    } else {
                        RequestIdEcho::Matched
                    },
                    refusal: None,
                };
                self.later(delay, Some(connection), event);
            }
        }
    }

    /// The server dies now: all its connections break.
    pub fn crash(&mut self, name: &str) {
        self.server(name).mode = Mode::Dead;
        let links: Vec<(ConnectionId, Link)> = self
            .links
            .iter()
            .filter(|(_, link)| link.server == name)
            .map(|(id, link)| (*id, link.clone()))
            .collect();
        for (connection, link) in links {
            self.due.retain(|_, (of, _)| *of != Some(connection));
            let event = match link.request {
                None => Event::ConnectionClosed { connection },
                Some(request) => Event::ExchangeFailed {
                    request,
                    failure: if self.finals.get(&request) == Some(&Final::Forwarded) {
                        ExchangeFailure::BrokenInAnswer
                    } else {
                        ExchangeFailure::BrokenBeforeAnswer
                    },
                },
            };
            self.later(ms(1), Some(connection), event);
        }
    }

    /// The server stops: nothing that is under way there comes back.
    pub fn freeze(&mut self, name: &str) {
        self.server(name).mode = Mode::Frozen;
        let links = &self.links;
        self.due.retain(|_, (of, event)| {
            let is_its = of
                .and_then(|c| links.get(&c))
                .is_some_and(|l| l.server == name);
            !is_its || !matches!(event, Event::AnswerStarted { .. })
        });
    }

    /// All open connections to the server go silent; new ones work.
    pub fn silence(&mut self, name: &str) {
        let newest = self.links.keys().max().copied().unwrap_or(0);
        self.server(name).silent_below = newest + 1;
        let mode = self.server(name).mode;
        self.freeze(name);
        self.server(name).mode = mode;
    }

    fn on_probe(&mut self, server: ServerId) {
        let fake = self.server(&server);
        fake.probes += 1;
        let (delay, result) = match fake.mode {
            Mode::Frozen => (PROBE_TIMEOUT, ProbeResult::TimedOut),
            Mode::Dead => (ms(1), ProbeResult::Refused),
            _ => {
                let says_healthy = fake.says_healthy;
                (ms(6), ProbeResult::Answered { says_healthy })
            }
        };
        self.later(delay, None, Event::Probed { server, result });
    }

    fn on_renew(&mut self, request: chicory_ownership::RenewRequest) {
        // The clock is read again once the effect is carried out.
        let sent_at = self.now + CARRY_OUT_DELAY;
        if !self.group.is_reachable {
            return self.later(ms(100), None, Event::RenewFailed);
        }
        let answer = self.group.renew(request);
        let event = Event::RenewAnswered {
            sent_at,
            from: PEER.to_owned(),
            answer,
        };
        self.later(NETWORK_DELAY, None, event);
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

    /// The refusal of a request that got one.
    pub fn refusal(&self, request: RequestId) -> Option<(RefusalReason, Outcome)> {
        match self.finals.get(&request)? {
            Final::Refused(refusal) => Some((refusal.reason, refusal.outcome)),
            _ => None,
        }
    }

    pub fn is_forwarded(&self, request: RequestId) -> bool {
        self.finals.get(&request) == Some(&Final::Forwarded)
    }

    /// Requests from `first` on, `count` of them, that were answered whole.
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
