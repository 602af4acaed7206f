//! Carries out the effects of the request path.

use chicory_dispatch::{
    ConnectFailure, ConnectionId, Effect, Event, ExchangeFailure, Outcome, ProbeResult,
    RequestIdEcho, ServerRefusal,
};
use chicory_ownership::{ClaimResolution, StoredAnswer};
use chicory_types::{FencingToken, RequestId, ServerId};

use super::{CARRY_OUT_DELAY, Final, Link, NETWORK_DELAY, PROBE_TIMEOUT, World};
use crate::support::fake_server::Mode;
use crate::support::fixtures::{PEER, ms};

impl World {
    pub(super) fn carry_out(&mut self, effect: Effect) {
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
                self.schedule(NETWORK_DELAY, None, event);
            }
            Effect::ResolveClaim {
                order_key,
                claimant,
                resolution,
                ..
            } => {
                let attempt = claimant.attempt;
                if resolution == ClaimResolution::NotRun {
                    assert!(
                        !self.order_runs.contains_key(&attempt),
                        "order {attempt} ran, but its claim is resolved as not run"
                    );
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
                "request {request} ran and is refused as not run"
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
        if self.servers[&link.server].mode == Mode::TruncatedAnswers {
            let failure = ExchangeFailure::BrokenInAnswer;
            let event = Event::ExchangeFailed { request, failure };
            return self.schedule(ms(1), Some(connection), event);
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
        self.schedule(transfer_time, Some(connection), event);
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
        self.release_connection(request);
        self.schedule(
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
        self.schedule(NETWORK_DELAY, Some(connection), event);
    }

    fn on_close(&mut self, connection: ConnectionId) {
        // The server sees the close one network delay later and counts the connection until then.
        if let Some(link) = self.links.get_mut(&connection) {
            link.request = None;
        }
        self.due.retain(|_, (of, _)| *of != Some(connection));
        self.schedule(NETWORK_DELAY, None, Event::ConnectionClosed { connection });
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
        if connection < server.unresponsive_below {
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
        self.schedule(NETWORK_DELAY, Some(connection), event);
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
            Mode::BreakingConnections => self.schedule(delay, Some(connection), failed),
            mode => {
                let is_wrong_answer = mode == Mode::WrongAnswers;
                let event = Event::AnswerStarted {
                    request,
                    status: if mode == Mode::Failing { 503 } else { 200 },
                    echo: if is_wrong_answer {
                        RequestIdEcho::Mismatched
                    } else {
                        RequestIdEcho::Matched
                    },
                    refusal: None,
                };
                self.schedule(delay, Some(connection), event);
            }
        }
    }

    /// Crashes a server: all its connections break.
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
            self.schedule(ms(1), Some(connection), event);
        }
    }

    /// Freezes a server: requests in flight there are never answered.
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

    /// Makes all open connections to a server unresponsive; new ones work.
    pub fn stall_connections(&mut self, name: &str) {
        let newest = self.links.keys().max().copied().unwrap_or(0);
        self.server(name).unresponsive_below = newest + 1;
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
        self.schedule(delay, None, Event::Probed { server, result });
    }

    fn on_renew(&mut self, request: chicory_ownership::RenewRequest) {
        // The process reads the clock again when it carries out the effect.
        let sent_at = self.now + CARRY_OUT_DELAY;
        if !self.group.is_reachable {
            return self.schedule(ms(100), None, Event::RenewFailed);
        }
        let answer = self.group.renew(request);
        let event = Event::RenewAnswered {
            sent_at,
            from: PEER.to_owned(),
            answer,
        };
        self.schedule(NETWORK_DELAY, None, event);
    }
}
