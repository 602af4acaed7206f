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
use super::{AnswerForm, Behaviour, Grants, ServerConfig};
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
    /// Closed while the server is frozen.
    pub freeze: Gate,
    /// Requests being worked on.
    pub in_flight: Cell<u32>,
    /// Source of service times.
    pub rng: RefCell<SmallRng>,
    /// Wakes the announcer before its time.
    pub announce_now: Notify,
    /// Request id and body of the answer before, for crossed answers.
    pub last_answer: RefCell<Option<(String, bytes::Bytes)>>,
    switches: RefCell<Switches>,
    connections: RefCell<Connections>,
}

#[derive(Debug, Default)]
struct Switches {
    sheds: bool,
    drains: bool,
    crash_marker: Option<String>,
    health_claim: Option<bool>,
    answer_form: AnswerForm,
}

#[derive(Debug, Default)]
struct Connections {
    next_id: u64,
    open: BTreeMap<u64, Gate>,
}

impl ServerState {
    /// Creates the state of the server `name`, whose requests come in at `address`.
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

    /// Switches the behaviour.
    pub fn apply(&self, behaviour: Behaviour) {
        let mut switches = self.switches.borrow_mut();
        match behaviour {
            Behaviour::Freeze => self.freeze.close(),
            Behaviour::Thaw => self.freeze.open(),
            Behaviour::Shed => switches.sheds = true,
            Behaviour::Accept => switches.sheds = false,
            Behaviour::CrashOn { marker } => switches.crash_marker = Some(marker),
            Behaviour::SilenceConnections => self.silence_connections(),
            Behaviour::ClaimHealthy => switches.health_claim = Some(true),
            Behaviour::ClaimUnhealthy => switches.health_claim = Some(false),
            Behaviour::TellHealth => switches.health_claim = None,
            Behaviour::CutAnswers => switches.answer_form = AnswerForm::Cut,
            Behaviour::CrossAnswers => switches.answer_form = AnswerForm::Crossed,
            Behaviour::AnswerProperly => switches.answer_form = AnswerForm::Proper,
            Behaviour::Drain => switches.drains = true,
            Behaviour::Undrain => switches.drains = false,
        }
        self.announce_now.notify_one();
    }

    /// Whether every request is refused.
    pub fn sheds(&self) -> bool {
        self.switches.borrow().sheds
    }

    /// Whether the server asks for no new work.
    pub fn drains(&self) -> bool {
        self.switches.borrow().drains
    }

    /// Whether a request for `path` ends the process.
    pub fn crashes_on(&self, path: &str) -> bool {
        let switches = self.switches.borrow();
        let marker = switches.crash_marker.as_deref();
        marker.is_some_and(|marker| path.contains(marker))
    }

    /// What the health answer claims, where it doesn't tell the truth.
    pub fn health_claim(&self) -> Option<bool> {
        self.switches.borrow().health_claim
    }

    /// How answers are sent.
    pub fn answer_form(&self) -> AnswerForm {
        self.switches.borrow().answer_form
    }

    /// Registers a connection; `None` if as many as allowed are open.
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

    /// Forgets a connection that is closed.
    pub fn close_connection(&self, id: u64) {
        self.connections.borrow_mut().open.remove(&id);
    }

    fn silence_connections(&self) {
        for gate in self.connections.borrow().open.values() {
            gate.close();
        }
    }

    /// Name of the server in the history.
    pub fn who(&self) -> String {
        format!("server:{}", self.name)
    }

    /// A record of the present with the server's name and service.
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
