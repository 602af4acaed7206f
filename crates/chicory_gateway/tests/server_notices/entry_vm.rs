//! One entry VM and the requests that it serves.

use std::time::Duration;

use chicory_directory::{ControlMessage, EntryMessage, EntryReport};
use chicory_gateway::{
    Admission, AttemptOutcome, Gateway, GatewayConfig, LeavingNotice, LimitNotice, NextStep,
    RequestMetadata, RequestTicket, RestNotice, ServerNotices,
};
use chicory_ranges::ServerIncarnation;

/// Time that callers wait.
const CALLER_PATIENCE: Duration = Duration::from_secs(1);
const REPORT_INTERVAL: Duration = Duration::from_millis(350);

/// What became of a request.
pub enum Progress {
    /// It is sent to the server.
    Sent(RequestTicket, ServerIncarnation),
    /// It waits until this time or for news.
    Waiting(RequestTicket, Duration),
    /// It was refused.
    Refused,
}

pub struct EntryVm {
    pub gateway: Gateway,
    pub waiting: Vec<(RequestTicket, Duration)>,
    /// Whether messages to and from the control VM arrive.
    pub is_linked: bool,
    next_report_at: Duration,
}

impl EntryVm {
    pub fn new(now: Duration, index: usize) -> Self {
        let config = GatewayConfig {
            random_seed: index as u64,
            ..GatewayConfig::default()
        };
        Self {
            gateway: Gateway::new(config),
            waiting: Vec::new(),
            is_linked: true,
            next_report_at: now,
        }
    }

    pub fn accept(&mut self, now: Duration, path: &str, key: u16) -> Progress {
        let metadata = RequestMetadata {
            attempt_id: None,
            time_left: Some(CALLER_PATIENCE),
            key: Some(key),
        };
        match self.gateway.admit(now, "host", path, &metadata) {
            Admission::Accepted(ticket) => self.advance(now, ticket),
            Admission::Refused(refusal) => panic!("refused at arrival: {refusal:?}"),
        }
    }

    pub fn advance(&mut self, now: Duration, mut ticket: RequestTicket) -> Progress {
        match self.gateway.next_step(now, &mut ticket) {
            NextStep::Send(target) => Progress::Sent(ticket, target.incarnation),
            NextStep::Wait(until) => Progress::Waiting(ticket, until),
            NextStep::Refuse(_) => Progress::Refused,
        }
    }

    pub fn receive_answer(
        &mut self,
        now: Duration,
        (mut ticket, server): (RequestTicket, ServerIncarnation),
        sent_at: Duration,
        (limit_per_s, is_leaving): (Option<f64>, bool),
    ) {
        let limit = limit_per_s.map_or(LimitNotice::Unlimited, LimitNotice::PerSecond);
        let leaving = if is_leaving {
            LeavingNotice::Leaving
        } else {
            LeavingNotice::Staying
        };
        let notices = ServerNotices {
            limit,
            leaving,
            ..ServerNotices::default()
        };
        self.gateway.record_limit(now, &server, sent_at, &notices);
        self.gateway.record_leaving(now, &server, &notices);
        let outcome = AttemptOutcome::Answered;
        self.gateway.record_attempt_end(now, &mut ticket, outcome);
    }

    /// Handles an answer that turns a request away because the server is full.
    pub fn receive_shed(&mut self, now: Duration, mut ticket: RequestTicket) -> Progress {
        let outcome = AttemptOutcome::Shed;
        if self.gateway.record_attempt_end(now, &mut ticket, outcome) {
            self.advance(now, ticket)
        } else {
            Progress::Refused
        }
    }

    /// Handles an answer that turns a request away and asks for rest.
    pub fn receive_rest(
        &mut self,
        now: Duration,
        (mut ticket, server): (RequestTicket, ServerIncarnation),
        rest: Duration,
    ) -> Progress {
        let notices = ServerNotices {
            rest: RestNotice::For(rest),
            ..ServerNotices::default()
        };
        self.gateway.record_rest(now, &server, &notices);
        let outcome = AttemptOutcome::Shed;
        if self.gateway.record_attempt_end(now, &mut ticket, outcome) {
            self.advance(now, ticket)
        } else {
            Progress::Refused
        }
    }

    pub fn receive(&mut self, now: Duration, message: ControlMessage) {
        match message {
            ControlMessage::Update(update) => {
                self.gateway.update(now, update);
            }
            ControlMessage::Status(status) => self.gateway.record_status(now, &status),
            ControlMessage::Moves(change) => self.gateway.record_moves(change),
            ControlMessage::ServerLimits(update) => {
                self.gateway.record_server_limits(now, update);
            }
            ControlMessage::ServerShares(_) | ControlMessage::OwnerAdmission(_) => {}
            ControlMessage::Relays(peers) => {
                self.gateway.set_relays(peers);
            }
        }
        // Any news may let a request that waits go on.
        for (_, until) in &mut self.waiting {
            *until = now;
        }
    }

    /// Returns a message to the control VM that is due.
    pub fn take_message(&mut self, now: Duration) -> Option<EntryMessage> {
        let report: EntryReport = if now >= self.next_report_at {
            self.next_report_at = now + REPORT_INTERVAL;
            self.gateway.take_report(now)
        } else {
            self.gateway.take_limit_report(now)?
        };
        Some(EntryMessage::Report(report))
    }
}
