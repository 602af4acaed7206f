//! One entry VM and the requests that it serves.

use std::time::Duration;

use chicory_directory::{DirectoryUpdate, LinkStatus, ServerRecord, ServerState, ServiceRanges};
use chicory_gateway::{
    Admission, AttemptOutcome, Gateway, GatewayConfig, LimitNotice, NextStep, RequestMetadata,
    RequestTicket, ServerNotices,
};
use chicory_ranges::{KeyRange, OwnedRange, ServerIncarnation};
use chicory_routes::{RequestKind, Route, RouteTable, RouteTableDelta, RouteTarget, RoutedService};

/// Time that callers wait.
const CALLER_PATIENCE: Duration = Duration::from_secs(1);

/// What became of a request.
pub enum Progress {
    /// It is sent to the server.
    Sent(RequestTicket),
    /// It waits until this time or for news.
    Waiting(RequestTicket, Duration),
    /// It was refused.
    Refused,
}

pub struct EntryVm {
    pub gateway: Gateway,
    pub waiting: Vec<(RequestTicket, Duration)>,
}

impl EntryVm {
    pub fn new(now: Duration, index: usize, entry_count: usize) -> Self {
        let config = GatewayConfig {
            random_seed: index as u64,
            ..GatewayConfig::default()
        };
        let mut gateway = Gateway::new(config);
        gateway.update(now, directory());
        gateway.record_status(now, &status(entry_count));
        Self {
            gateway,
            waiting: Vec::new(),
        }
    }

    pub fn accept(&mut self, now: Duration) -> Progress {
        let metadata = RequestMetadata {
            attempt_id: None,
            time_left: Some(CALLER_PATIENCE),
            key: Some(7),
        };
        match self.gateway.admit(now, "host", "/reads/x", &metadata) {
            Admission::Accepted(ticket) => self.advance(now, ticket),
            Admission::Refused(refusal) => panic!("refused at arrival: {refusal:?}"),
        }
    }

    pub fn advance(&mut self, now: Duration, mut ticket: RequestTicket) -> Progress {
        match self.gateway.next_step(now, &mut ticket) {
            NextStep::Send(_) => Progress::Sent(ticket),
            NextStep::Wait(until) => Progress::Waiting(ticket, until),
            NextStep::Refuse(_) => Progress::Refused,
        }
    }

    pub fn receive_answer(
        &mut self,
        now: Duration,
        mut ticket: RequestTicket,
        sent_at: Duration,
        limit_per_s: Option<f64>,
    ) {
        let limit = limit_per_s.map_or(LimitNotice::Unlimited, LimitNotice::PerSecond);
        let notices = ServerNotices { limit };
        self.gateway
            .record_notices(now, &server(), sent_at, &notices);
        let outcome = AttemptOutcome::Answered;
        self.gateway.record_attempt_end(now, &mut ticket, outcome);
    }
}

pub fn server() -> ServerIncarnation {
    ServerIncarnation::new("a1", 1)
}

pub fn status(entry_count: usize) -> LinkStatus {
    LinkStatus {
        is_in_contact: true,
        entry_count: u32::try_from(entry_count).expect("few entry VMs"),
        ..LinkStatus::default()
    }
}

pub fn routes() -> RouteTable {
    RouteTable {
        version: 1,
        routes: vec![Route {
            name: "reads".into(),
            host: "host".into(),
            path_prefix: "/reads/".into(),
            kind: RequestKind::Idempotent,
            timeout: Some(Duration::from_secs(1)),
            latency_target: None,
            priority: None,
            max_attempts: Some(2),
            target: RouteTarget::Service("archive".into()),
        }],
        services: vec![RoutedService {
            name: "archive".into(),
            health_path: None,
            max_connections: None,
            protocol: None,
            has_tls: None,
            is_keyed: Some(true),
            warmup: None,
            grant_mode: None,
        }],
        limits: None,
    }
}

fn directory() -> DirectoryUpdate {
    DirectoryUpdate {
        version: 5,
        last_fence: 1,
        is_full: true,
        routes: Some(RouteTableDelta::whole(&routes())),
        servers: vec![ServerRecord {
            incarnation: server(),
            service: "archive".into(),
            address: ([10, 0, 0, 1], 8000).into(),
            zone: "north".into(),
            software_version: String::new(),
            slots: 4,
            state: ServerState::Ready,
            cold_for: Duration::ZERO,
        }],
        removed: Vec::new(),
        ranges: vec![ServiceRanges {
            service: "archive".into(),
            ranges: vec![OwnedRange {
                range: KeyRange::ALL,
                owner: server(),
                fence: 1,
                handover: None,
            }],
        }],
    }
}
