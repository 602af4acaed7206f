//! The JSON messages of `POST /.chicory/announce`.

use std::time::Duration;

use chicory_dispatch::{Announcement, AnnouncementAnswer, AnnouncementError, GrantedRun};
use chicory_ownership::ServerRecord;
use serde::{Deserialize, Serialize};

/// The announcement of a backend server.
#[derive(Debug, Deserialize)]
pub(crate) struct AnnounceRequest {
    service: String,
    server: String,
    address: String,
    zone: String,
    slots: u32,
    connections: u32,
    incarnation: u64,
    checks_grants: bool,
    draining: bool,
    #[serde(default)]
    known_grants_version: u64,
}

impl From<AnnounceRequest> for Announcement {
    fn from(request: AnnounceRequest) -> Self {
        Self {
            exchange: 0,
            record: ServerRecord {
                server: request.server,
                service: request.service,
                address: request.address,
                zone: request.zone,
                slots: request.slots,
                connections: request.connections,
                incarnation: request.incarnation,
                checks_grants: request.checks_grants,
                draining: request.draining,
            },
            known_grants_version: request.known_grants_version,
        }
    }
}

/// The answer to an announcement.
#[derive(Debug, Serialize)]
pub(crate) struct AnnounceAnswer {
    renew_after_ms: u64,
    dispatcher: Option<String>,
    lease_ms: u64,
    grants_version: u64,
    grants: Option<Vec<GrantMessage>>,
}

/// A run of granted slots.
#[derive(Debug, Serialize)]
struct GrantMessage {
    first: u16,
    last: u16,
    token: String,
}

impl From<AnnouncementAnswer> for AnnounceAnswer {
    fn from(answer: AnnouncementAnswer) -> Self {
        let grants = answer.grants;
        Self {
            renew_after_ms: millis(answer.renew_after),
            dispatcher: answer.dispatcher_address,
            lease_ms: millis(answer.lease),
            grants_version: answer.grants_version,
            grants: grants.map(|runs| runs.into_iter().map(GrantMessage::from).collect()),
        }
    }
}

impl From<GrantedRun> for GrantMessage {
    fn from(granted: GrantedRun) -> Self {
        Self {
            first: granted.run.first,
            last: granted.run.last,
            token: granted.token.to_string(),
        }
    }
}

/// The answer to an announcement that was refused.
#[derive(Debug, Serialize)]
pub(crate) struct AnnounceRefusal {
    pub(crate) error: &'static str,
    pub(crate) detail: String,
}

impl From<AnnouncementError> for AnnounceRefusal {
    fn from(error: AnnouncementError) -> Self {
        let name = match error {
            AnnouncementError::WrongZone { .. } => "wrong-zone",
            AnnouncementError::UnknownService { .. } => "unknown-service",
            AnnouncementError::SupersededIncarnation { .. } => "superseded-incarnation",
        };
        Self {
            error: name,
            detail: error.to_string(),
        }
    }
}

fn millis(span: Duration) -> u64 {
    u64::try_from(span.as_millis()).unwrap_or(u64::MAX)
}
