//! All promises of a run, and what was seen to break them.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Instant;

use platform_stand_ins::{
    CallerAnswer, CallerRequest, HeldGrant, ReadTable, SeenRequest, ServerObserver,
};
use serde_json::Value;

use crate::calm::Calm;
use crate::key_promises::KeyPromises;
use crate::request_promises::RequestPromises;
use crate::table_promises::TablePromises;

/// Violations that are kept; one fault tends to show many times.
const MAX_VIOLATIONS: usize = 20;

/// All promises of a run, and what was seen to break them.
#[derive(Debug)]
pub(crate) struct Promises {
    started_at: Instant,
    /// When nothing was disturbed.
    pub(crate) calm: Calm,
    keys: Mutex<KeyPromises>,
    requests: Mutex<RequestPromises>,
    tables: Mutex<TablePromises>,
    /// Service of each life of a server.
    services: Mutex<BTreeMap<String, String>>,
    violations: Mutex<Vec<String>>,
}

impl Promises {
    pub(crate) fn new() -> Self {
        Self {
            started_at: Instant::now(),
            calm: Calm::default(),
            keys: Mutex::default(),
            requests: Mutex::default(),
            tables: Mutex::default(),
            services: Mutex::default(),
            violations: Mutex::default(),
        }
    }

    /// Notes what was broken.
    pub(crate) fn note(&self, broken: impl IntoIterator<Item = String>) {
        let at = self.started_at.elapsed().as_secs_f64();
        let mut violations = lock(&self.violations);
        for broken in broken {
            if violations.len() < MAX_VIOLATIONS {
                violations.push(format!("{at:.3} s: {broken}"));
            }
        }
    }

    /// What was broken so far.
    pub(crate) fn violations(&self) -> Vec<String> {
        lock(&self.violations).clone()
    }

    /// A life of a server begins.
    pub(crate) fn begins_server(&self, server: &str, service: &str) {
        lock(&self.services).insert(server.to_owned(), service.to_owned());
    }

    /// A process goes on, or a cut ends.
    pub(crate) fn note_thaw(&self) {
        lock(&self.keys).note_thaw();
    }

    /// A caller is about to send a request, which may go to these services.
    pub(crate) fn asks(&self, request: &CallerRequest, services: &[&'static str]) {
        lock(&self.requests).asks(request, services);
    }

    /// A caller got an answer.
    pub(crate) fn answered(
        &self,
        request: &CallerRequest,
        entry: SocketAddr,
        is_planned_stop: bool,
        answer: &CallerAnswer,
    ) {
        let mut requests = lock(&self.requests);
        let broken = requests.answered(request, entry, is_planned_stop, answer, &self.calm);
        drop(requests);
        self.note(broken);
    }

    /// An operator is about to send a table.
    pub(crate) fn sends_table(&self, version: u64, table: &Value, is_valid: bool) {
        lock(&self.tables).sends(version, table, is_valid);
    }

    /// An operator got an answer.
    pub(crate) fn put_answered(&self, version: u64, status: Option<u16>) {
        let broken = lock(&self.tables).put_answered(version, status);
        self.note(broken);
    }

    /// The greatest version of a table that was acknowledged.
    pub(crate) fn greatest_acknowledged(&self) -> u64 {
        lock(&self.tables).greatest_acknowledged()
    }

    /// A table was read back that was asked for at `asked_at`.
    pub(crate) fn read(&self, asked_at: Instant, read: &ReadTable) {
        let broken = lock(&self.tables).read(asked_at, read);
        self.note(broken);
    }

    /// An entry VM begins a new life.
    pub(crate) fn begins_life(&self, entry: SocketAddr) {
        lock(&self.tables).begins_life(entry);
    }

    /// A request for the mark of a version was answered.
    pub(crate) fn mark_answered(
        &self,
        entry: SocketAddr,
        version: u64,
        asked_at: Instant,
        is_known: bool,
    ) {
        let mut tables = lock(&self.tables);
        let broken = tables.mark_answered(entry, version, asked_at, is_known, &self.calm);
        drop(tables);
        self.note(broken);
    }
}

impl ServerObserver for Promises {
    fn keys_granted(&self, server: &str, grant: HeldGrant) {
        let broken = lock(&self.keys).granted(server, grant);
        self.note(broken);
    }

    fn keys_released(&self, server: &str, first: u16, last: u16) {
        lock(&self.keys).released(server, first, last);
    }

    fn request_started(&self, server: &str, request: SeenRequest) {
        let service = lock(&self.services).get(server).cloned();
        let service = service.unwrap_or_default();
        let mut requests = lock(&self.requests);
        let broken = requests.began(server, &service, &request, &self.calm);
        drop(requests);
        self.note(broken);
    }

    fn leave_acknowledged(&self, server: &str) {
        lock(&self.requests).leaves(server);
    }

    fn process_ended(&self, server: &str) {
        lock(&self.keys).ended(server);
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
