//! The process: its parts and its event loop.

use std::sync::Arc;
use std::time::{Duration, UNIX_EPOCH};

use chicory_consensus::MemberId;
use chicory_net::admin::{AdminHandler, Readiness};
use chicory_net::http::{HttpLimits, HttpListener};
use chicory_net::peer::{FaultFile, FaultSwitch, NoFaults, PeerEndpoint, PeerIdentity};
use chicory_net::tls::{PeerRole, PeerTls, Subject};
use chicory_telemetry::{Metrics, new_logger};
use chicory_trace::{EventTrace, NoTrace, TraceWriter, TracedProcess};
use chicory_types::{Clock, Incarnation, MonoTime, SystemClock};
use slog::{Logger, error, info};
use snafu::ResultExt;
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::{mpsc, oneshot, watch};

use super::control_error::{
    AdminSnafu, ControlError, CorruptSnafu, GroupSnafu, MetricsSnafu, PeerSnafu, SignalSnafu,
    TlsSnafu, TraceSnafu,
};
use super::control_settings::ControlSettings;
use super::peer_links::PeerLinks;
use super::pending_calls::{CallOrigin, PendingCalls};
use super::shell_event::ShellEvent;
use super::stored_state::StoredState;
use super::{note_log, peer_server};
use crate::{
    Caller, ControlCall, ControlConfig, ControlCore, ControlEffect, ControlEvent, ControlReply,
    GroupName, PersistRequest,
};

/// Maximum number of events that wait for the loop.
const EVENT_QUEUE_CAPACITY: usize = 4_096;
/// Maximum number of events handled in one iteration of the loop, before it checks again whether a
/// tick is due.
const EVENT_BATCH_SIZE: usize = 64;
/// Longest time that the loop waits for an event.
const MAX_LOOP_WAIT: Duration = Duration::from_millis(100);

/// What the loop should do next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum LoopControl {
    Continue,
    Stop,
    Fail,
}

/// State of the event loop.
struct Process {
    core: ControlCore,
    clock: SystemClock,
    links: PeerLinks,
    calls: PendingCalls,
    stored: StoredState,
    readiness: Readiness,
    metrics: Arc<Metrics>,
    logger: Logger,
    config: ControlConfig,
    trace: Box<dyn EventTrace<ControlEvent>>,
}

/// Runs the process until it receives a signal to stop.
///
/// # Errors
///
/// Returns [`ControlError`] if the process can't start or must not continue.
pub async fn run(settings: ControlSettings) -> Result<(), ControlError> {
    let clock = SystemClock::new();
    let metrics = Arc::new(Metrics::new().context(MetricsSnafu)?);
    let logger = new_logger(settings.log_format, "chicory-control", &settings.vm);
    let (events, inbox) = mpsc::channel(EVENT_QUEUE_CAPACITY);
    let (stop, stopped) = watch::channel(false);
    let readiness = Readiness::default();
    let endpoint = start_peers(&settings, &events, &metrics)?;
    start_admin(&settings, &readiness, &metrics, stopped).await?;
    let now = clock.now();
    let mut stored = StoredState::open(&settings, new_incarnation(&clock))?;
    let global = stored.open_global(&settings, now, &logger)?;
    let stored_member = stored.open_zone(&logger)?;
    let config = control_config(&settings, &stored);
    info!(logger, "started"; "zone" => &config.zone, "incarnation" => config.incarnation,
        "is_global_member" => config.is_global_member());
    let process = Process {
        core: ControlCore::new(config.clone(), global, stored_member, now).context(GroupSnafu)?,
        clock,
        links: PeerLinks::new(endpoint.clone(), settings.peers(), events, metrics.clone()),
        calls: PendingCalls::default(),
        stored,
        readiness,
        metrics,
        logger,
        trace: open_trace(&settings, now, &config)?,
        config,
    };
    let result = process.run(inbox).await;
    // Sending fails only if no listener is left that could be stopped.
    let _ = stop.send(true);
    endpoint.close().await;
    result
}

fn start_peers(
    settings: &ControlSettings,
    events: &mpsc::Sender<ShellEvent>,
    metrics: &Arc<Metrics>,
) -> Result<PeerEndpoint, ControlError> {
    let tls = PeerTls::load(&settings.tls).context(TlsSnafu)?;
    let identity = PeerIdentity {
        subject: Subject::new(PeerRole::Control, settings.vm.clone()),
        cluster: settings.cluster.clone(),
        zone: settings.zone.clone(),
    };
    let faults: Arc<dyn FaultSwitch> = match &settings.fault_file {
        Some(path) => FaultFile::follow(path.clone()),
        None => Arc::new(NoFaults),
    };
    let (endpoint, incoming) = PeerEndpoint::bind(
        settings.peer_listen,
        &tls,
        &identity,
        faults,
        metrics.clone(),
    )
    .context(PeerSnafu)?;
    tokio::spawn(peer_server::serve(
        incoming,
        events.clone(),
        metrics.clone(),
    ));
    Ok(endpoint)
}

async fn start_admin(
    settings: &ControlSettings,
    readiness: &Readiness,
    metrics: &Arc<Metrics>,
    stopped: watch::Receiver<bool>,
) -> Result<(), ControlError> {
    let listener = HttpListener::bind(settings.admin_listen)
        .await
        .context(AdminSnafu)?;
    let handler = Arc::new(AdminHandler::new(readiness.clone(), metrics.clone()));
    tokio::spawn(listener.serve(handler, HttpLimits::INTERNAL, stopped, metrics.clone()));
    Ok(())
}

fn control_config(settings: &ControlSettings, stored: &StoredState) -> ControlConfig {
    let incarnation = stored.incarnation;
    ControlConfig {
        is_zone_durable: stored.is_durable(),
        vm: settings.vm.clone(),
        incarnation,
        zone: settings.zone.clone(),
        zone_vms: settings.zone_peers.keys().cloned().collect(),
        global_vms: settings.global_peers.keys().cloned().collect(),
        seed: incarnation,
    }
}

fn open_trace(
    settings: &ControlSettings,
    now: MonoTime,
    config: &ControlConfig,
) -> Result<Box<dyn EventTrace<ControlEvent>>, ControlError> {
    match &settings.trace_file {
        Some(path) => {
            let writer = TraceWriter::create(path, TracedProcess::Control, now, config)
                .context(TraceSnafu)?;
            Ok(Box::new(writer))
        }
        None => Ok(Box::new(NoTrace)),
    }
}

fn new_incarnation(clock: &SystemClock) -> Incarnation {
    let started = clock.wall().duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(started.as_micros()).unwrap_or(u64::MAX)
}

impl Process {
    async fn run(mut self, mut inbox: mpsc::Receiver<ShellEvent>) -> Result<(), ControlError> {
        let mut terminate = signal(SignalKind::terminate()).context(SignalSnafu)?;
        let mut interrupt = signal(SignalKind::interrupt()).context(SignalSnafu)?;
        let mut batch = Vec::with_capacity(EVENT_BATCH_SIZE);
        loop {
            let wait = self.next_wait();
            let mut stop_requested = false;
            tokio::select! {
                _ = inbox.recv_many(&mut batch, EVENT_BATCH_SIZE) => {}
                () = tokio::time::sleep(wait) => {}
                _ = terminate.recv() => stop_requested = true,
                _ = interrupt.recv() => stop_requested = true,
            }
            let mut next = self.tick();
            for event in batch.drain(..) {
                next = next.most_urgent(self.handle(event));
            }
            if stop_requested {
                next = next.most_urgent(self.reduce(ControlEvent::StopRequested));
            }
            self.readiness.set(self.core.is_ready());
            match next {
                LoopControl::Continue => {}
                LoopControl::Stop => return Ok(()),
                LoopControl::Fail => return CorruptSnafu.fail(),
            }
        }
    }

    fn next_wait(&self) -> Duration {
        let due = self.core.next_wakeup();
        due.saturating_sub(self.clock.now()).min(MAX_LOOP_WAIT)
    }

    fn tick(&mut self) -> LoopControl {
        let now = self.clock.now();
        if now < self.core.next_wakeup() {
            return LoopControl::Continue;
        }
        self.calls.remove_abandoned();
        let wall = self.clock.wall().duration_since(UNIX_EPOCH);
        let wall_ms = u64::try_from(wall.unwrap_or_default().as_millis()).unwrap_or(u64::MAX);
        self.reduce(ControlEvent::Tick { wall_ms })
    }

    fn handle(&mut self, event: ShellEvent) -> LoopControl {
        match event {
            ShellEvent::Message {
                group,
                from,
                message,
            } => self.reduce(ControlEvent::PeerReceived {
                group,
                from,
                message,
            }),
            ShellEvent::Call {
                from,
                request,
                reply,
            } => self.handle_call(from, request, reply),
            ShellEvent::Completed(event) => self.reduce(event),
        }
    }

    fn handle_call(
        &mut self,
        from: Caller,
        request: ControlCall,
        reply: oneshot::Sender<ControlReply>,
    ) -> LoopControl {
        let call = self.calls.add(CallOrigin::Remote(reply));
        self.reduce(ControlEvent::CallReceived {
            call,
            from,
            request,
        })
    }

    /// Passes an event to the reducer, and then all events that follow from it in this process.
    fn reduce(&mut self, event: ControlEvent) -> LoopControl {
        let mut next = LoopControl::Continue;
        let mut events = vec![event];
        while let Some(event) = events.pop() {
            let now = self.clock.now();
            self.trace.record(now, &event);
            let mut follow_ups = Vec::new();
            for effect in self.core.reduce(now, event) {
                next = next.most_urgent(self.carry_out(effect, &mut follow_ups));
            }
            events.extend(follow_ups.into_iter().rev());
        }
        next
    }

    fn carry_out(
        &mut self,
        effect: ControlEffect,
        follow_ups: &mut Vec<ControlEvent>,
    ) -> LoopControl {
        match effect {
            ControlEffect::Send { group, to, message } => {
                self.links.send(group, &to.vm, message);
            }
            ControlEffect::OpenZoneStore {
                group_epoch,
                member,
            } => return self.create_zone_store(group_epoch, &member),
            ControlEffect::Persist { group, request } => {
                follow_ups.push(self.persist(group, *request));
            }
            ControlEffect::Reply { call, reply } => {
                follow_ups.extend(self.reply(call, reply));
            }
            ControlEffect::SyncZone { to, request } => {
                let sent_at = self.clock.now();
                if to == self.config.vm {
                    let origin = CallOrigin::OwnSync { sent_at };
                    follow_ups.push(self.own_call(origin, ControlCall::ZoneSync(request)));
                } else {
                    self.links.sync_zone(sent_at, to, request);
                }
            }
            ControlEffect::AskFormation { to, request } => {
                if to == self.config.vm {
                    let origin = CallOrigin::OwnFormation {
                        group: request.asked_group,
                    };
                    follow_ups.push(self.own_call(origin, ControlCall::AskFormation(request)));
                } else {
                    self.links.ask_formation(&to, request);
                }
            }
            ControlEffect::Note(note) => note_log::record_note(&self.logger, &self.metrics, &note),
            ControlEffect::Abort => return LoopControl::Fail,
            ControlEffect::Stopped => return LoopControl::Stop,
        }
        LoopControl::Continue
    }

    fn create_zone_store(&mut self, group_epoch: u64, member: &MemberId) -> LoopControl {
        match self.stored.create_zone_store(group_epoch, member) {
            Ok(()) => LoopControl::Continue,
            Err(error) => {
                error!(self.logger, "the zone's group can't be stored"; "error" => %error);
                LoopControl::Fail
            }
        }
    }

    fn persist(&mut self, group: GroupName, request: PersistRequest) -> ControlEvent {
        let ticket = request.ticket;
        let Some(store) = self.stored.store_mut(group) else {
            self.metrics.increment(super::ControlMetric::FailedWrites);
            return ControlEvent::PersistFailed { group, ticket };
        };
        match store.persist(request) {
            Ok(()) => {
                self.metrics.increment(super::ControlMetric::DurableWrites);
                ControlEvent::Persisted { group, ticket }
            }
            Err(error) => {
                self.metrics.increment(super::ControlMetric::FailedWrites);
                error!(self.logger, "state could not be made durable"; "error" => %error);
                ControlEvent::PersistFailed { group, ticket }
            }
        }
    }

    /// Returns the event of a call that this process makes to itself.
    fn own_call(&mut self, origin: CallOrigin, request: ControlCall) -> ControlEvent {
        ControlEvent::CallReceived {
            call: self.calls.add(origin),
            from: Caller::Control(self.config.vm.clone()),
            request,
        }
    }

    fn reply(&mut self, call: u64, reply: ControlReply) -> Option<ControlEvent> {
        match (self.calls.take(call)?, reply) {
            (CallOrigin::Remote(sender), reply) => {
                // The caller may have disconnected; it will send the call again.
                let _ = sender.send(reply);
                None
            }
            (CallOrigin::OwnSync { sent_at }, ControlReply::ZoneSync(answer)) => {
                Some(ControlEvent::ZoneSyncAnswered {
                    sent_at,
                    from: self.config.vm.clone(),
                    answer,
                })
            }
            (CallOrigin::OwnFormation { group }, ControlReply::Formation(answer)) => {
                Some(ControlEvent::FormationAnswered { group, answer })
            }
            (CallOrigin::OwnSync { .. }, _) => Some(ControlEvent::ZoneSyncFailed),
            (CallOrigin::OwnFormation { .. }, _) => Some(ControlEvent::FormationFailed),
        }
    }
}

impl LoopControl {
    /// Returns the more urgent of the two.
    fn most_urgent(self, other: Self) -> Self {
        match (self, other) {
            (Self::Fail, _) | (_, Self::Fail) => Self::Fail,
            (Self::Stop, _) | (_, Self::Stop) => Self::Stop,
            _ => Self::Continue,
        }
    }
}
