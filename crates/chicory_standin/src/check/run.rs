//! Runs of requests on backend servers, collected from the records of the servers.

use std::collections::{BTreeMap, VecDeque};

use crate::history::{HistoryEvent, HistoryRecord};

/// How a run ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RunEnd {
    /// The request was answered or cancelled.
    Finished,
    /// The server abandoned the run without effect, because it had lost its grant.
    Abandoned,
    /// The run was lost with the server's process, at an unknown time.
    Lost,
}

/// One run of a request on a backend server.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Run {
    /// The server.
    pub server: String,
    /// The service.
    pub service: String,
    /// The key.
    pub key: Option<String>,
    /// The caller's identifier of the send.
    pub request_id: Option<String>,
    /// The order key.
    pub order_key: Option<String>,
    /// The fencing token.
    pub token: Option<String>,
    /// Start of the run.
    pub start_ns: u64,
    /// End of the run; for a lost run, the time of the last record that the server's process wrote.
    pub end_ns: u64,
    /// How it ended.
    pub end: RunEnd,
}

impl Run {
    /// Returns whether the run may have had an effect.
    #[must_use]
    pub fn may_have_effect(&self) -> bool {
        self.end != RunEnd::Abandoned
    }

    fn new(record: &HistoryRecord) -> Self {
        Self {
            server: record.who.clone(),
            service: record.service.clone().unwrap_or_default(),
            key: record.key.clone(),
            request_id: record.request_id.clone(),
            order_key: record.order_key.clone(),
            token: record.token.clone(),
            start_ns: record.mono_ns,
            end_ns: record.mono_ns,
            end: RunEnd::Lost,
        }
    }

    fn finish(&mut self, record: &HistoryRecord) {
        let lost_at_ns = record.lease_end_ns.unwrap_or(record.mono_ns);
        (self.end, self.end_ns) = match record.event {
            HistoryEvent::RunAbandoned => (RunEnd::Abandoned, lost_at_ns.max(self.start_ns)),
            _ => (RunEnd::Finished, record.mono_ns),
        };
    }
}

/// Collects the runs from records sorted by time, and returns them sorted by start.
#[must_use]
pub fn collect_runs(records: &[HistoryRecord]) -> Vec<Run> {
    let mut collector = RunCollector::default();
    for record in records {
        collector.add(record);
    }
    collector.runs
}

type RunIdentity = (String, Option<String>, Option<String>);

#[derive(Debug, Default)]
struct RunCollector {
    runs: Vec<Run>,
    open: BTreeMap<RunIdentity, VecDeque<usize>>,
    open_by_server: BTreeMap<String, Vec<usize>>,
}

impl RunCollector {
    fn add(&mut self, record: &HistoryRecord) {
        match record.event {
            HistoryEvent::ServerStarted => self.drop_open_runs(&record.who),
            HistoryEvent::RunStart => {
                self.extend_open_runs(record);
                self.start(record);
            }
            HistoryEvent::RunEnd | HistoryEvent::RunAbandoned => {
                self.extend_open_runs(record);
                self.end(record);
            }
            _ => self.extend_open_runs(record),
        }
    }

    /// Extends the open runs of the server to the time of `record`, which shows that the server is
    /// alive.
    fn extend_open_runs(&mut self, record: &HistoryRecord) {
        let open = self.open_by_server.get(&record.who);
        for index in open.into_iter().flatten() {
            self.runs[*index].end_ns = record.mono_ns;
        }
    }

    fn start(&mut self, record: &HistoryRecord) {
        let index = self.runs.len();
        self.runs.push(Run::new(record));
        let server_runs = self.open_by_server.entry(record.who.clone());
        server_runs.or_default().push(index);
        self.open
            .entry(identity(record))
            .or_default()
            .push_back(index);
    }

    fn end(&mut self, record: &HistoryRecord) {
        let open = self.open.get_mut(&identity(record));
        let Some(index) = open.and_then(VecDeque::pop_front) else {
            return;
        };
        self.runs[index].finish(record);
        if let Some(server_runs) = self.open_by_server.get_mut(&record.who) {
            server_runs.retain(|open| *open != index);
        }
    }

    fn drop_open_runs(&mut self, server: &str) {
        self.open_by_server.remove(server);
        self.open.retain(|(who, _, _), _| who != server);
    }
}

fn identity(record: &HistoryRecord) -> RunIdentity {
    (
        record.who.clone(),
        record.exchange_id.clone(),
        record.request_id.clone(),
    )
}
