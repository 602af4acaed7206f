//! The state of one backend server, shared by its tasks.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Instant;

use rand::SeedableRng;
use rand::rngs::SmallRng;
use tokio::sync::Notify;

use super::gate::Gate;
use super::grants::GrantChange;
use super::{AnswerMode, Behaviour, Grants, ServerConfig};
use crate::history::{HistoryEvent, HistoryRecord, Recorder};

/// The state of one backend server, shared by its tasks.
#[derive(Debug)]
pub struct ServerState {
    /// Settings.
    pub config: ServerConfig,
    /// Name of the server.
    pub name: String,
    /// Host and port for requests.
    pub address: String,
    /// History of the process.
    pub recorder: Rc<Recorder>,
    /// Fenced grants.
    pub grants: RefCell<Grants>,
    /// Gate that is closed while the server is frozen.
    pub freeze: Gate,
    /// Requests in flight.
    pub in_flight: Cell<u32>,
    /// Random number generator for service times.
    pub rng: RefCell<SmallRng>,
    /// Makes the announcer send its next announcement at once.
    pub announce_now: Notify,
    /// Request id and body of the previous answer, for crossed answers.
    pub last_answer: RefCell<Option<(String, bytes::Bytes)>>,
    switches: RefCell<Switches>,
    connections: RefCell<Connections>,
}

#[derive(Debug, Default)]
struct Switches {
    is_shedding: bool,
    is_draining: bool,
    crash_marker: Option<String>,
    health_override: Option<bool>,
    answer_mode: AnswerMode,
}

#[derive(Debug, Default)]
struct Connections {
    next_id: u64,
    open: BTreeMap<u64, Gate>,
}

impl ServerState {
    /// Creates the state of the server `name`, which accepts requests at `address`.
    #[must_use]
    pub fn new(
        config: ServerConfig,
        name: String,
        address: String,
        recorder: Rc<Recorder>,
    ) -> Self {
        let seed = config.seed ^ chicory_types::fingerprint_of(&[name.as_bytes()]);
        Self {
            config,
            name,
            address,
            recorder,
            grants: RefCell::new(Grants::new(Instant::now())),
            freeze: Gate::default(),
            in_flight: Cell::new(0),
            rng: RefCell::new(SmallRng::seed_from_u64(seed)),
            announce_now: Notify::new(),
            last_answer: RefCell::new(None),
            switches: RefCell::default(),
            connections: RefCell::default(),
        }
    }

    /// Changes the behaviour, and makes the announcer announce at once.
    pub fn apply(&self, behaviour: Behaviour) {
        let mut switches = self.switches.borrow_mut();
        match behaviour {
            Behaviour::Freeze => self.freeze.close(),
            Behaviour::Thaw => self.freeze.open(),
            Behaviour::Shed => switches.is_shedding = true,
            Behaviour::Accept => switches.is_shedding = false,
            Behaviour::CrashOn { marker } => switches.crash_marker = Some(marker),
            Behaviour::SilenceConnections => self.close_connection_gates(),
            Behaviour::ClaimHealthy => switches.health_override = Some(true),
            Behaviour::ClaimUnhealthy => switches.health_override = Some(false),
            Behaviour::TellHealth => switches.health_override = None,
            Behaviour::CutAnswers => switches.answer_mode = AnswerMode::Cut,
            Behaviour::CrossAnswers => switches.answer_mode = AnswerMode::Crossed,
            Behaviour::AnswerProperly => switches.answer_mode = AnswerMode::Proper,
            Behaviour::Drain => switches.is_draining = true,
            Behaviour::Undrain => switches.is_draining = false,
        }
        self.announce_now.notify_one();
    }

    /// Returns whether every request is refused.
    pub fn is_shedding(&self) -> bool {
        self.switches.borrow().is_shedding
    }

    /// Returns whether the server drains and wants no new requests.
    pub fn is_draining(&self) -> bool {
        self.switches.borrow().is_draining
    }

    /// Returns whether a request for `path` ends the process.
    pub fn crashes_on(&self, path: &str) -> bool {
        let switches = self.switches.borrow();
        let marker = switches.crash_marker.as_deref();
        marker.is_some_and(|marker| path.contains(marker))
    }

    /// Returns the health that health answers report whatever the state of the server, if that is
    /// set.
    pub fn health_override(&self) -> Option<bool> {
        self.switches.borrow().health_override
    }

    /// Returns how answers are sent.
    pub fn answer_mode(&self) -> AnswerMode {
        self.switches.borrow().answer_mode
    }

    /// Registers a connection; returns `None` if the limit of open connections is reached.
    pub fn open_connection(&self) -> Option<(u64, Gate)> {
        let mut connections = self.connections.borrow_mut();
        if connections.open.len() >= self.config.connections as usize {
            return None;
        }
        let id = connections.next_id;
        connections.next_id += 1;
        let gate = Gate::default();
        connections.open.insert(id, gate.clone());
        Some((id, gate))
    }

    /// Removes a connection that is closed.
    pub fn close_connection(&self, id: u64) {
        self.connections.borrow_mut().open.remove(&id);
    }

    fn close_connection_gates(&self) {
        for gate in self.connections.borrow().open.values() {
            gate.close();
        }
    }

    /// Returns the name of the server in the history.
    pub fn who(&self) -> String {
        format!("server:{}", self.name)
    }

    /// Creates a record with the current time and the name and service of the server.
    pub fn record(&self, event: HistoryEvent) -> HistoryRecord {
        HistoryRecord {
            service: Some(self.config.service.clone()),
            ..self.recorder.record(&self.who(), event)
        }
    }

    /// Voids the grants if their lease has ended.
    pub fn expire_grants(&self) {
        let change = self.grants.borrow_mut().expire(Instant::now());
        self.write_changes(change);
    }

    /// Writes changes of the grants to the history.
    pub fn write_changes(&self, changes: impl IntoIterator<Item = GrantChange>) {
        for change in changes {
            self.recorder.write(&self.change_record(change));
        }
    }

    fn change_record(&self, change: GrantChange) -> HistoryRecord {
        let (event, run) = match change {
            GrantChange::Granted(run) => (HistoryEvent::Grant, run),
            GrantChange::Revoked(run) => (HistoryEvent::Revoke, run),
            GrantChange::Renewed(end) => {
                return self.lease_record(HistoryEvent::Renewed, end);
            }
            GrantChange::Expired(end) => {
                return self.lease_record(HistoryEvent::GrantExpired, end);
            }
        };
        HistoryRecord {
            first_slot: Some(run.first),
            last_slot: Some(run.last),
            token: Some(run.token),
            ..self.record(event)
        }
    }

    fn lease_record(&self, event: HistoryEvent, end: Instant) -> HistoryRecord {
        HistoryRecord {
            lease_end_ns: Some(self.recorder.at_ns(end)),
            ..self.record(event)
        }
    }
}
