//! The event loop of a control process.

use std::collections::BTreeMap;
use std::sync::{Arc, mpsc as std_mpsc};
use std::time::Duration;

use bytes::Bytes;
use chicory_directory::{ControlMessage, SiteAnswer};
use chicory_telemetry::Metrics;
use chicory_types::{Clock, MonoTime};
use chicory_wire::encode_control_message;
use slog::{Logger, warn};
use snafu::ResultExt;
use tokio::net::TcpListener;
use tokio::sync::{mpsc, oneshot};

use super::link_listener::LinkListener;
use super::peer_links::PeerLinks;
use super::site_input::SiteInput;
use super::site_process_error::ListenSnafu;
use super::storage_worker::{self, StorageJob};
use super::{
    GrantTransport, SiteHandle, SiteMetric, SiteProcessConfig, SiteProcessError, note_log,
};
use crate::{CallerId, EntryLinkId, SiteConfig, SiteCore, SiteEffect, SiteEvent};

/// Shortest wait for a timer, so that deadlines close to each other share one wake-up.
const TIMER_GRANULARITY: Duration = Duration::from_millis(5);

/// Duration at which an iteration is logged as long: heartbeats are delayed while it runs.
const LONG_ITERATION: Duration = Duration::from_millis(100);

/// Largest number of events in one iteration; an iteration with this many takes a few milliseconds.
const MAX_ITERATION_EVENTS: usize = 256;

/// Inputs that one iteration of the event loop handles.
#[derive(Default)]
struct Iteration {
    events: Vec<SiteEvent>,
    /// Notified at the end of the iteration, after its stops have been handled.
    stops: Vec<oneshot::Sender<()>>,
}

/// A control process: an event loop around the reducer.
pub struct SiteProcess {
    core: SiteCore,
    clock: Arc<dyn Clock + Send + Sync>,
    inbox: mpsc::UnboundedSender<SiteInput>,
    inputs: mpsc::UnboundedReceiver<SiteInput>,
    listener: Option<LinkListener>,
    storage: std_mpsc::Sender<StorageJob>,
    peers: PeerLinks,
    grants: Arc<dyn GrantTransport>,
    entries: BTreeMap<EntryLinkId, mpsc::Sender<Bytes>>,
    callers: BTreeMap<CallerId, oneshot::Sender<SiteAnswer>>,
    last_caller: CallerId,
    logger: Logger,
    metrics: Arc<Metrics>,
}

impl SiteProcess {
    /// Starts to listen for links, and starts the storage thread.
    ///
    /// # Errors
    ///
    /// [`SiteProcessError`] when either fails.
    pub async fn start(
        config: SiteProcessConfig,
        clock: Arc<dyn Clock + Send + Sync>,
        grants: Arc<dyn GrantTransport>,
        logger: Logger,
        metrics: Arc<Metrics>,
    ) -> Result<(Self, SiteHandle), SiteProcessError> {
        let address = config.link_address;
        let listener = TcpListener::bind(address)
            .await
            .context(ListenSnafu { address })?;
        let (inbox, inputs) = mpsc::unbounded_channel();
        let vm = config.vm.clone();
        let zone = config.zone.clone();
        let site_config = SiteConfig::new(vm.clone(), config.seeds.clone())
            .with_zone(zone.clone())
            .with_zones(config.zones.clone())
            .with_voter_count(config.voter_count)
            .with_random_seed(election_seed(&vm, clock.now()))
            .with_grants(config.grants.clone())
            .with_cold_allowance(config.cold_allowance);
        let storage = storage_worker::start(config, inbox.clone(), logger.clone())?;
        let listener = LinkListener {
            listener,
            inbox: inbox.clone(),
            logger: logger.clone(),
            metrics: metrics.clone(),
        };
        let process = Self {
            core: SiteCore::new(site_config, clock.now()),
            clock,
            inbox: inbox.clone(),
            inputs,
            listener: Some(listener),
            storage,
            peers: PeerLinks::new(vm, zone, logger.clone(), metrics.clone()),
            grants,
            entries: BTreeMap::new(),
            callers: BTreeMap::new(),
            last_caller: 0,
            logger,
            metrics,
        };
        Ok((process, SiteHandle::new(inbox)))
    }

    /// Runs the event loop until the runtime ends.
    pub async fn run(mut self) {
        if let Some(listener) = self.listener.take() {
            tokio::spawn(listener.run());
        }
        self.send_to_storage(StorageJob::Open);
        loop {
            let wakeup = self.core.next_wakeup();
            let now = self.clock.now();
            let pause = wakeup.saturating_sub(now).max(TIMER_GRANULARITY);
            tokio::select! {
                input = self.inputs.recv() => {
                    let Some(input) = input else { return };
                    self.run_iteration(input);
                    // Lets the links send the messages of this iteration before the next one.
                    tokio::task::yield_now().await;
                }
                () = tokio::time::sleep(pause) => {}
            }
            if self.core.next_wakeup() <= self.clock.now() {
                self.reduce(vec![SiteEvent::Tick]);
            }
        }
    }

    /// Handles inputs that were received together, so that work which concerns all keys is done
    /// once for all of them.
    fn run_iteration(&mut self, first: SiteInput) {
        let started_at = self.clock.now();
        let mut iteration = Iteration::default();
        self.add_to_iteration(&mut iteration, first);
        while iteration.events.len() < MAX_ITERATION_EVENTS
            && let Ok(next) = self.inputs.try_recv()
        {
            self.add_to_iteration(&mut iteration, next);
        }
        let input_count = iteration.events.len();
        self.reduce(iteration.events);
        for done in iteration.stops {
            if done.send(()).is_err() {
                warn!(
                    self.logger,
                    "stop ended after its caller had stopped waiting"
                );
            }
        }
        let took = self.clock.now().saturating_sub(started_at);
        self.metrics.record(SiteMetric::IterationTime, took);
        if took >= LONG_ITERATION {
            warn!(self.logger, "turn took long"; "took" => ?took, "inputs" => input_count,
                "is_leading" => self.core.is_leading(started_at + took));
        }
    }

    fn add_to_iteration(&mut self, iteration: &mut Iteration, input: SiteInput) {
        match input {
            SiteInput::Event(event) => {
                if let SiteEvent::EntryDisconnected { link } = &event {
                    self.entries.remove(link);
                }
                iteration.events.push(event);
            }
            SiteInput::Call { call, reply } => {
                self.metrics.increment(SiteMetric::Calls);
                self.last_caller += 1;
                let caller = self.last_caller;
                self.callers.insert(caller, reply);
                iteration
                    .events
                    .push(SiteEvent::CallReceived { caller, call });
            }
            SiteInput::EntryLink { link, outbox } => {
                self.entries.insert(link, outbox);
            }
            SiteInput::Stop { done } => {
                iteration.events.push(SiteEvent::Stopping);
                iteration.stops.push(done);
            }
        }
    }

    fn reduce(&mut self, events: Vec<SiteEvent>) {
        let now = self.clock.now();
        for effect in self.core.reduce_all(now, events) {
            self.run_effect(effect);
        }
        let is_leading = self.core.is_leading(now);
        self.metrics
            .set(SiteMetric::IsLeading, u64::from(is_leading));
        let version = self.core.state().version();
        self.metrics.set(SiteMetric::DirectoryVersion, version);
        let evacuated_count = self.core.state().evacuated_zones().len() as u64;
        self.metrics
            .set(SiteMetric::EvacuatedZones, evacuated_count);
        let entry_count = self.core.entry_count() as u64;
        self.metrics.set(SiteMetric::EntryVms, entry_count);
        let unable_count = self.core.unable_to_relay_count() as u64;
        self.metrics
            .set(SiteMetric::EntryVmsUnableToRelay, unable_count);
        let cold_count = self.core.cold_count() as u64;
        self.metrics.set(SiteMetric::ColdServers, cold_count);
        let overloaded_count = self.core.overloaded_owner_count() as u64;
        self.metrics
            .set(SiteMetric::OverloadedOwners, overloaded_count);
    }

    fn run_effect(&mut self, effect: SiteEffect) {
        match effect {
            SiteEffect::Persist {
                ticket,
                hard_state,
                truncate_from,
                snapshot,
                entries,
            } => {
                self.metrics.increment(SiteMetric::Persists);
                self.send_to_storage(StorageJob::Persist {
                    ticket,
                    hard_state,
                    truncate_from,
                    snapshot,
                    entries,
                });
            }
            SiteEffect::ReopenStorage => {
                self.metrics.increment(SiteMetric::StorageFailures);
                self.send_to_storage(StorageJob::Open);
            }
            SiteEffect::Answer { caller, answer } => self.answer(caller, answer),
            SiteEffect::SendToPeer { to, envelope } => self.peers.send(&to, envelope),
            SiteEffect::SendToEntries { links, message } => self.send_to_entries(&links, message),
            SiteEffect::Grant(request) => {
                self.metrics.increment(SiteMetric::GrantCalls);
                let call = request.call;
                let ended = self.grants.call(request);
                let inbox = self.inbox.clone();
                tokio::spawn(async move {
                    let outcome = ended.await;
                    let event = SiteEvent::GrantCallEnded { call, outcome };
                    // If the event loop has ended, the process is ending too.
                    drop(inbox.send(SiteInput::Event(event)));
                });
            }
            SiteEffect::Note(note) => {
                self.count(&note);
                note_log::write(&self.logger, &note);
            }
        }
    }

    fn count(&self, note: &crate::SiteNote) {
        match note {
            crate::SiteNote::GrantCallFailed { .. } => {
                self.metrics.increment(SiteMetric::GrantFailures);
            }
            crate::SiteNote::RangeMoved { .. } => self.metrics.increment(SiteMetric::RangeMoves),
            crate::SiteNote::CallUnavailable { .. } => {
                self.metrics.increment(SiteMetric::CallsUnavailable);
            }
            _ => {}
        }
    }

    fn answer(&mut self, caller: CallerId, answer: SiteAnswer) {
        if let Some(reply) = self.callers.remove(&caller) {
            // A caller that no longer waits needs no answer.
            drop(reply.send(answer));
        }
    }

    /// Encodes a message once and sends it to several entry VMs.
    fn send_to_entries(&mut self, links: &[EntryLinkId], message: ControlMessage) {
        if let ControlMessage::Relays(_) = message {
            self.metrics.increment(SiteMetric::RelayListsSent);
        }
        let is_shares = matches!(message, ControlMessage::ServerShares(_));
        let message = Bytes::from(encode_control_message(message));
        if is_shares {
            let bytes = message.len() * links.len();
            self.metrics.increment(SiteMetric::ShareListsSent);
            self.metrics.add(SiteMetric::ShareBytesSent, bytes as u64);
        }
        for link in links {
            let Some(outbox) = self.entries.get(link) else {
                continue;
            };
            if let Err(failure) = outbox.try_send(message.clone()) {
                warn!(self.logger, "link of entry VM accepts no messages; closing it";
                    "link" => link, "error" => %failure, "next_bytes" => message.len());
                self.entries.remove(link);
            }
        }
    }

    fn send_to_storage(&self, job: StorageJob) {
        if self.storage.send(job).is_err() {
            warn!(self.logger, "storage thread has ended");
        }
    }
}

/// Returns a seed that differs between VMs and between starts, so that their
/// election timeouts differ.
fn election_seed(vm: &str, now: MonoTime) -> u64 {
    let time = now.as_nanos().to_le_bytes();
    chicory_types::fingerprint_of(&[vm.as_bytes(), &time])
}
