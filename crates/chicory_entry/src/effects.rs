//! Carries out the reducer's effects.

use std::ops::ControlFlow;
use std::time::Duration;

use chicory_dispatch::{
    AnnouncementAnswer, AnnouncementError, ConnectFailure, ConnectionId, Effect, Event, RelayLoad,
};
use chicory_net::http::{LinkError, ServerLink};
use chicory_ownership::{ClaimRequest, RenewRequest};
use chicory_types::{RequestId, ServerId, VmId};
use chicory_wire::proto::claim::{CrashReport, ResolveClaimRequest};
use slog::info;

use crate::answer::Answer;
use crate::core_loop::CoreLoop;
use crate::exchange::Attempt;
use crate::forward::{Forwarded, forward};
use crate::input::Input;
use crate::relay::{RelayParams, relay, request_head};
use crate::server::{WriteParams, probe};
use crate::server_link_entry::ServerLinkEntry;
use crate::started_answer::StartedAnswer;

/// How long opening a connection to a backend server may take.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

impl CoreLoop {
    /// Carries out one effect; returns [`ControlFlow::Break`] if the process may exit.
    pub(crate) fn carry_out(&mut self, effect: Effect) -> ControlFlow<()> {
        match effect {
            Effect::Refuse { request, refusal } => self.answer(request, Answer::Refused(refusal)),
            Effect::AnswerStored { request, answer } => {
                self.answer(request, Answer::Stored(answer));
            }
            Effect::Relay {
                request,
                to: _,
                address,
                hops,
                deadline,
            } => self.relay(request, address, hops, deadline),
            Effect::CancelRelay { request } => {
                if let Some(exchange) = self.exchanges.get_mut(&request) {
                    exchange.end_attempt();
                }
            }
            Effect::DiscardAnswer { request } => self.discard(request),
            Effect::Connect {
                connection,
                server: _,
                address,
            } => self.connect(connection, address),
            Effect::Close { connection } => self.close(connection),
            Effect::Write {
                request,
                connection,
                slot,
                token,
                deadline,
                keeps_answer,
            } => {
                let params = WriteParams {
                    request,
                    slot,
                    token,
                    deadline,
                };
                self.write(connection, params, keeps_answer);
            }
            Effect::ForwardAnswer { request, load } => self.forward(request, load),
            Effect::BreakAnswer { request } => self.break_answer(request),
            Effect::Claim { request, claim } => self.claim(request, claim),
            Effect::ResolveClaim {
                service,
                order_key,
                claimant,
                resolution,
            } => self.resolve_claim(ResolveClaimRequest {
                service,
                order_key,
                claimant: Some(claimant.into()),
                resolution: Some(resolution.into()),
            }),
            Effect::ReportCrash {
                server,
                fingerprints,
                was_alone,
            } => self.report_crash(CrashReport {
                server,
                fingerprints,
                was_alone,
            }),
            Effect::Renew { leader, request } => self.renew(leader, request),
            Effect::Probe { server, address } => self.probe(server, address),
            Effect::AnswerAnnouncement { exchange, answer } => {
                self.answer_announcement(exchange, answer);
            }
            Effect::SetReady { is_ready } => {
                info!(self.parts.logger, "readiness changed"; "is_ready" => is_ready);
                self.parts.readiness.set(is_ready);
            }
            Effect::Stopped => return ControlFlow::Break(()),
        }
        ControlFlow::Continue(())
    }

    fn answer(&mut self, request: RequestId, answer: Answer) {
        let exchange = self.exchanges.remove(&request);
        if let Some(sender) = exchange.and_then(|mut exchange| exchange.answer.take()) {
            let _ = sender.send(answer);
        }
    }

    fn discard(&mut self, request: RequestId) {
        let Some(exchange) = self.exchanges.get_mut(&request) else {
            return;
        };
        let started = exchange.started.take();
        exchange.end_attempt();
        if let Some(StartedAnswer::FromServer {
            connection,
            response,
            ..
        }) = started
        {
            self.drain(connection, response);
        }
    }

    fn break_answer(&mut self, request: RequestId) {
        let exchange = self.exchanges.remove(&request);
        if let Some(breaker) = exchange.and_then(|mut exchange| exchange.breaker.take()) {
            let _ = breaker.send(());
        }
    }

    fn relay(&mut self, request: RequestId, address: String, hops: u8, deadline: Duration) {
        let Some(exchange) = self.exchanges.get_mut(&request) else {
            return;
        };
        exchange.end_attempt();
        let attempt = Attempt {
            request,
            number: exchange.attempt,
        };
        let Some(body) = exchange.body.take() else {
            let has_sent_nothing = false;
            self.parts.inbox.send(Input::RelayFailed {
                attempt,
                has_sent_nothing,
            });
            return;
        };
        let params = RelayParams {
            attempt,
            address,
            hops,
            deadline,
            from_zone: self.parts.zone_name.clone(),
        };
        let head = request_head(&exchange.head, &body, &params);
        let peers = self.parts.peers.clone();
        let inbox = self.parts.inbox.clone();
        let task = tokio::spawn(relay(peers, head, body, params, inbox));
        exchange.answer_task = Some(task.abort_handle());
    }

    fn connect(&mut self, connection: ConnectionId, address: String) {
        let entry = ServerLinkEntry::opening(address.clone());
        self.links.insert(connection, entry);
        let inbox = self.parts.inbox.clone();
        tokio::spawn(async move {
            let closed = inbox.clone();
            let on_close = move || closed.send(Input::LinkClosed { connection });
            match ServerLink::open(&address, CONNECT_TIMEOUT, on_close).await {
                Ok(link) => inbox.send(Input::Connected { connection, link }),
                Err(error) => inbox.send_event(Event::ConnectFailed {
                    connection,
                    failure: connect_failure(&error),
                }),
            }
        });
    }

    fn claim(&mut self, request: RequestId, claim: ClaimRequest) {
        let zone = self.parts.zone.clone();
        let inbox = self.parts.inbox.clone();
        tokio::spawn(async move {
            inbox.send_event(match zone.claim(claim).await {
                Ok(answer) => Event::ClaimAnswered { request, answer },
                Err(_) => Event::ClaimFailed { request },
            });
        });
    }

    fn resolve_claim(&mut self, resolution: ResolveClaimRequest) {
        let zone = self.parts.zone.clone();
        let task_guard = self.parts.task_guard.clone();
        tokio::spawn(async move {
            zone.resolve_claim(resolution).await;
            drop(task_guard);
        });
    }

    fn report_crash(&mut self, report: CrashReport) {
        let zone = self.parts.zone.clone();
        tokio::spawn(async move { zone.report_crash(report).await });
    }

    fn renew(&mut self, leader: Option<VmId>, request: RenewRequest) {
        // The reducer identifies a renewal by the time at which it requested it.
        let sent_at = self.now;
        let zone = self.parts.zone.clone();
        let inbox = self.parts.inbox.clone();
        tokio::spawn(async move {
            inbox.send_event(match zone.renew(leader, request).await {
                Ok((from, answer)) => Event::RenewAnswered {
                    sent_at,
                    from,
                    answer,
                },
                Err(_) => Event::RenewFailed,
            });
        });
    }

    fn probe(&mut self, server: ServerId, address: String) {
        let inbox = self.parts.inbox.clone();
        tokio::spawn(async move {
            let result = probe(&address).await;
            inbox.send_event(Event::Probed { server, result });
        });
    }

    fn answer_announcement(
        &mut self,
        exchange: u64,
        answer: Result<AnnouncementAnswer, AnnouncementError>,
    ) {
        if let Some(reply) = self.announcements.remove(&exchange) {
            let _ = reply.send(answer);
        }
    }

    fn forward(&mut self, request: RequestId, load: RelayLoad) {
        let inbox = self.parts.inbox.clone();
        let Some(exchange) = self.exchanges.get_mut(&request) else {
            return;
        };
        let Some(started) = exchange.started.take() else {
            return;
        };
        let forwarded = forward(exchange, started, request, load, inbox);
        if let Forwarded::FromServer {
            connection,
            allows_reuse,
        } = forwarded
            && let Some(entry) = self.links.get_mut(&connection)
        {
            entry.allows_reuse = allows_reuse;
        }
    }
}

fn connect_failure(error: &LinkError) -> ConnectFailure {
    match error {
        LinkError::Refused => ConnectFailure::Refused,
        LinkError::TimedOut => ConnectFailure::TimedOut,
        LinkError::Network { .. } | LinkError::Handshake { .. } => ConnectFailure::Failed,
    }
}
