//! The guarantees of a run and the violations found.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use platform_stand_ins::{
    CallerAnswer, CallerRequest, HeldGrant, ReadTable, SeenRequest, ServerBehaviour, ServerObserver,
};
use serde_json::Value;

use crate::cold_guarantees::ColdGuarantees;
use crate::disturbances::{Cut, Disturbances};
use crate::entry_cut_guarantees::{EntryCutGuarantees, FirstTry};
use crate::evacuation_guarantees::EvacuationGuarantees;
use crate::key_guarantees::KeyGuarantees;
use crate::notice_guarantees::NoticeGuarantees;
use crate::request_guarantees::RequestGuarantees;
use crate::table_guarantees::TableGuarantees;

/// Number of violations that are kept; one fault usually causes many.
const MAX_VIOLATIONS: usize = 20;

/// All guarantees that a run checks, and the violations found.
#[derive(Debug)]
pub(crate) struct Guarantees {
    started_at: Instant,
    /// Times in which guarantees with a time bound are suspended.
    pub(crate) disturbances: Disturbances,
    keys: Mutex<KeyGuarantees>,
    requests: Mutex<RequestGuarantees>,
    tables: Mutex<TableGuarantees>,
    notices: Mutex<NoticeGuarantees>,
    entry_cuts: Mutex<EntryCutGuarantees>,
    evacuations: Mutex<EvacuationGuarantees>,
    cold: Mutex<ColdGuarantees>,
    /// Service of each incarnation of a server, by its name.
    services: Mutex<BTreeMap<String, String>>,
    violations: Mutex<Vec<String>>,
}

impl Guarantees {
    pub(crate) fn new() -> Self {
        Self {
            started_at: Instant::now(),
            disturbances: Disturbances::default(),
            keys: Mutex::default(),
            requests: Mutex::default(),
            tables: Mutex::default(),
            notices: Mutex::default(),
            entry_cuts: Mutex::default(),
            evacuations: Mutex::default(),
            cold: Mutex::default(),
            services: Mutex::default(),
            violations: Mutex::default(),
        }
    }

    /// Records violations with the time since the start of the run.
    pub(crate) fn record_violations(&self, new_violations: impl IntoIterator<Item = String>) {
        let at = self.started_at.elapsed().as_secs_f64();
        let mut violations = lock(&self.violations);
        for violation in new_violations {
            if violations.len() < MAX_VIOLATIONS {
                violations.push(format!("{at:.3} s: {violation}"));
            }
        }
    }

    /// Returns the violations found so far.
    pub(crate) fn violations(&self) -> Vec<String> {
        lock(&self.violations).clone()
    }

    /// Checks the keys that servers hold, whether or not anything happens to them.
    pub(crate) fn check_held_keys(&self) {
        let new_violations = lock(&self.keys).check_held_keys();
        self.record_violations(new_violations);
    }

    /// Records that an incarnation of a server starts.
    pub(crate) fn record_incarnation(&self, server: &str, service: &str, zone: &str) {
        lock(&self.evacuations).record_server(server, zone);
        lock(&self.services).insert(server.to_owned(), service.to_owned());
    }

    /// Records that a paused process resumes, or that a cut ends.
    pub(crate) fn record_resume(&self) {
        lock(&self.keys).record_resume();
    }

    /// Records that a caller is about to send a request, which may be routed to these services.
    pub(crate) fn record_request(
        &self,
        request: &CallerRequest,
        entry: SocketAddr,
        services: &[&'static str],
    ) {
        lock(&self.notices).record_request(&request.attempt_id, entry);
        lock(&self.evacuations).record_request(&request.attempt_id, entry);
        lock(&self.requests).record_request(request, services);
    }

    /// Checks the answer that a caller got.
    pub(crate) fn record_answer(
        &self,
        request: &CallerRequest,
        entry: SocketAddr,
        is_planned_stop: bool,
        answer: &CallerAnswer,
    ) {
        lock(&self.notices).record_answer(&request.attempt_id);
        let mut requests = lock(&self.requests);
        let new_violations =
            requests.record_answer(request, entry, is_planned_stop, answer, &self.disturbances);
        drop(requests);
        self.record_violations(new_violations);
    }

    /// Records a caller's first try that has ended.
    pub(crate) fn record_try(&self, first_try: FirstTry) {
        lock(&self.entry_cuts).record_try(first_try);
    }

    /// Checks how callers were served during a cut that has ended.
    pub(crate) fn check_cut(&self, cut: &Cut) {
        let new_violation = lock(&self.entry_cuts).check_cut(cut, &self.disturbances);
        self.record_violations(new_violation);
    }

    /// Records that connections to a server are hindered for a time.
    pub(crate) fn record_hindrance(&self, server: &str, length: Duration) {
        lock(&self.notices).record_hindrance(server, length);
        lock(&self.cold).record_hindrance(server, length);
    }

    /// Records that the evacuation of a zone was acknowledged at a moment.
    pub(crate) fn record_evacuation(&self, zone: &str, at: Instant) {
        lock(&self.evacuations).record_begin(zone, at);
    }

    /// Records that an operator is about to revoke the evacuation of a zone.
    pub(crate) fn record_evacuation_end(&self, zone: &str) {
        lock(&self.evacuations).record_finish(zone);
    }

    /// Returns the number of requests that reached servers of a zone.
    pub(crate) fn arrivals_in(&self, zone: &str) -> u64 {
        lock(&self.evacuations).arrivals(zone)
    }

    /// Records that an operator is about to send a table.
    pub(crate) fn record_table(&self, version: u64, table: &Value, is_valid: bool) {
        lock(&self.tables).record_table(version, table, is_valid);
    }

    /// Checks the answer to a table that an operator sent.
    pub(crate) fn record_put_answer(&self, version: u64, status: Option<u16>) {
        let new_violations = lock(&self.tables).record_put_answer(version, status);
        self.record_violations(new_violations);
    }

    /// Returns the greatest acknowledged version of the table.
    pub(crate) fn greatest_acknowledged(&self) -> u64 {
        lock(&self.tables).greatest_acknowledged()
    }

    /// Checks a table that was read; `requested_at` is the time at which the read was sent.
    pub(crate) fn check_read(&self, requested_at: Instant, read: &ReadTable) {
        let new_violations = lock(&self.tables).check_read(requested_at, read);
        self.record_violations(new_violations);
    }

    /// Records that the process of an entry VM starts again.
    pub(crate) fn record_entry_start(&self, entry: SocketAddr) {
        lock(&self.tables).record_entry_start(entry);
    }

    /// Checks the answer to a request for the marker route of a version.
    pub(crate) fn record_marker_answer(
        &self,
        entry: SocketAddr,
        version: u64,
        requested_at: Instant,
        is_known: bool,
    ) {
        let mut tables = lock(&self.tables);
        let new_violations =
            tables.record_marker_answer(entry, version, requested_at, is_known, &self.disturbances);
        drop(tables);
        self.record_violations(new_violations);
    }
}

impl ServerObserver for Guarantees {
    fn keys_granted(&self, server: &str, grant: HeldGrant) {
        let new_violations = lock(&self.keys).record_grant(server, grant);
        self.record_violations(new_violations);
    }

    fn keys_released(&self, server: &str, first: u16, last: u16) {
        lock(&self.keys).record_release(server, first, last);
    }

    fn request_arrived(&self, server: &str, attempt_id: &str) {
        let mut notices = lock(&self.notices);
        let new_violations = notices.record_arrival(server, attempt_id, &self.disturbances);
        drop(notices);
        self.record_violations(new_violations);
    }

    fn request_accepted(&self, server: &str, attempt_id: &str) {
        let mut evacuations = lock(&self.evacuations);
        let new_violation = evacuations.record_arrival(server, attempt_id, &self.disturbances);
        drop(evacuations);
        self.record_violations(new_violation);
    }

    fn overloaded_while_cold(&self, server: &str, requests: u32) {
        let cold = lock(&self.cold);
        let new_violation = cold.check_overload(server, requests, &self.disturbances);
        drop(cold);
        self.record_violations(new_violation);
    }

    fn request_answered(&self, server: &str, attempt_id: &str, behaviour: ServerBehaviour) {
        lock(&self.notices).record_server_answer(server, attempt_id, behaviour);
    }

    fn request_started(&self, server: &str, request: SeenRequest) {
        let key = request.key;
        let new_violation = key.and_then(|key| lock(&self.keys).record_request(server, key));
        self.record_violations(new_violation);
        let service = lock(&self.services).get(server).cloned();
        let service = service.unwrap_or_default();
        let mut requests = lock(&self.requests);
        let new_violations =
            requests.record_run_start(server, &service, &request, &self.disturbances);
        drop(requests);
        self.record_violations(new_violations);
    }

    fn leave_acknowledged(&self, server: &str) {
        lock(&self.requests).record_leave(server);
    }

    fn process_ended(&self, server: &str) {
        lock(&self.keys).record_end(server);
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
