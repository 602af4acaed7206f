//! Messages between the processes of the model.

use chicory_ownership::*;
use chicory_types::{FencingToken, MonoTime};

#[derive(Clone, Debug)]
pub enum Message {
    Renew {
        entry: usize,
        incarnation: u64,
        sequence: u64,
        sent_at: MonoTime,
        request: RenewRequest,
    },
    Renewed {
        entry: usize,
        incarnation: u64,
        sequence: u64,
        sent_at: MonoTime,
        answer: RenewAnswer,
    },
    Sync {
        sent_at: MonoTime,
        term: u64,
        request: ZoneSyncRequest,
    },
    Synced {
        zone: String,
        sent_at: MonoTime,
        term: u64,
        answer: ZoneSyncAnswer,
    },
    Announce {
        server: usize,
        entry: usize,
        sent_at: MonoTime,
        record: ServerRecord,
    },
    Granted {
        server: usize,
        incarnation: u64,
        sent_at: MonoTime,
        grant: ServerGrant,
    },
}

/// Grant of a dispatcher to a server that announced itself.
#[derive(Clone, Debug)]
pub struct ServerGrant {
    pub lease: std::time::Duration,
    pub slots: RunMap<FencingToken>,
}
