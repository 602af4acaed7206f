//! State that all tasks of an entry process share.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use chicory_net::admin::Readiness;
use chicory_net::http::ClientBudget;
use chicory_policy::LimitChange;
use chicory_ranges::ServerIncarnation;
use chicory_telemetry::Metrics;
use chicory_types::{Clock, MonoTime, VmId};
use slog::{Logger, info, warn};
use tokio::sync::{Notify, watch};

use super::bulk_transfers::BulkTransfers;
use super::connection_pool::ConnectionPool;
use super::link_load::LinkLoad;
use super::reachability_log::ReachabilityLog;
use super::relay_log::RelayLog;
use super::request_log::RequestLog;
use super::{CallerInterface, GatewayMetric, RelayClient, ServerInterface};
use crate::{Gateway, LeavingNotice, LimitNotice, LoadNotice, RestNotice, ServerNotices};

/// Maximum number of idle connections to one server. It is low because servers limit the total over
/// all entry VMs.
const MAX_IDLE_CONNECTIONS: usize = 3;

/// Part of the process's memory that requests and answers may occupy, in percent. The rest is for the
/// directory, for connections to servers, and for what allocators leave unused.
const CLIENT_MEMORY_PERCENT: u64 = 62;

/// State that all tasks of an entry process share. The tasks run on one thread, so the locks are
/// never contended.
pub(super) struct SharedState {
    gateway: Mutex<Gateway>,
    pub(super) pool: ConnectionPool<ServerIncarnation>,
    /// Sends requests by way of other entry VMs.
    pub(super) relays: RelayClient,
    /// Turns of large bodies on the entry VM's link.
    pub(super) bulk: BulkTransfers,
    /// Answers that cross the entry VM's link.
    pub(super) link: LinkLoad,
    /// What callers and other entry VMs may occupy.
    pub(super) clients: ClientBudget,
    pub(super) clock: Arc<dyn Clock + Send + Sync>,
    pub(super) callers: Arc<dyn CallerInterface>,
    pub(super) servers: Arc<dyn ServerInterface>,
    pub(super) readiness: Readiness,
    /// Set when the planned stop is about to end, and requests that still wait have to be answered.
    pub(super) answers_are_due: watch::Sender<bool>,
    /// Number of changes of the directory.
    pub(super) changes: watch::Sender<u64>,
    /// Notified when limits or requests for permits have to be reported.
    pub(super) limit_reports: Notify,
    /// Notified when an attempt or a probe ended in a way that may call for a probe.
    pub(super) probe_hints: Notify,
    /// Notified when an attempt ended while requests wait for slots of this entry VM.
    pub(super) freed_slots: Notify,
    pub(super) requests: RequestLog,
    pub(super) reachability: ReachabilityLog,
    pub(super) relayed: RelayLog,
    pub(super) logger: Logger,
    pub(super) metrics: Arc<Metrics>,
}

impl SharedState {
    pub(super) fn new(
        vm: VmId,
        gateway: Gateway,
        clock: Arc<dyn Clock + Send + Sync>,
        interfaces: (Arc<dyn CallerInterface>, Arc<dyn ServerInterface>),
        readiness: Readiness,
        logger: Logger,
        metrics: Arc<Metrics>,
    ) -> Self {
        let thin_link_bytes_per_s = gateway.config().thin_link_bytes_per_s;
        let client_bytes = gateway.config().memory_bytes / 100 * CLIENT_MEMORY_PERCENT;
        Self {
            clients: ClientBudget::new(client_bytes, clock.clone(), metrics.clone()),
            bulk: BulkTransfers::new(thin_link_bytes_per_s),
            link: LinkLoad::new(thin_link_bytes_per_s, clock.clone()),
            gateway: Mutex::new(gateway),
            pool: ConnectionPool::new(MAX_IDLE_CONNECTIONS),
            relays: RelayClient::new(vm, clock.clone(), metrics.clone()),
            clock,
            callers: interfaces.0,
            servers: interfaces.1,
            readiness,
            answers_are_due: watch::Sender::new(false),
            changes: watch::Sender::new(0),
            limit_reports: Notify::new(),
            probe_hints: Notify::new(),
            freed_slots: Notify::new(),
            reachability: ReachabilityLog::new(logger.clone(), metrics.clone()),
            requests: RequestLog::new(logger.clone(), metrics.clone()),
            relayed: RelayLog::new(logger.clone(), metrics.clone()),
            logger,
            metrics,
        }
    }

    /// Records that a connection to a server has opened.
    pub(super) fn record_connect_time(&self, began_at: MonoTime) {
        let now = self.now();
        let took = now.saturating_sub(began_at);
        self.gateway().record_connect_time(now, took);
    }

    pub(super) fn gateway(&self) -> MutexGuard<'_, Gateway> {
        self.gateway.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Waits until requests that still wait have to be answered, as the planned stop is about to end.
    pub(super) async fn wait_for_due_answers(&self) {
        let mut due = self.answers_are_due.subscribe();
        // The sender lives as long as this state, so the wait can't fail.
        drop(due.wait_for(|is_due| *is_due).await);
    }

    /// Sets the readiness by which the balancer and callers choose an entry VM.
    pub(super) fn update_readiness(&self) {
        let now = self.now();
        let is_ready = self.gateway().is_ready_and_in_contact(now);
        if self.readiness.last_set() == is_ready {
            return;
        }
        self.readiness.set(is_ready);
        let contact_age = self.gateway().contact_age(now);
        info!(self.logger, "readiness changed"; "is_ready" => is_ready,
            "contact_age" => ?contact_age);
    }

    /// Logs how the path to backend servers changed.
    pub(super) fn log_reachability_changes(&self) {
        let (changes, relay_count) = {
            let mut gateway = self.gateway();
            (gateway.take_reachability_changes(), gateway.relay_count())
        };
        let now = self.now();
        for change in &changes {
            self.reachability.changed(now, change, relay_count);
        }
    }

    /// Records what a server states about itself in an answer to a request that was sent at
    /// `sent_at`.
    pub(super) fn record_notices(
        &self,
        incarnation: &ServerIncarnation,
        sent_at: MonoTime,
        notices: &ServerNotices,
    ) {
        match notices.limit {
            LimitNotice::Unlimited => {}
            LimitNotice::PerSecond(_) => self.metrics.increment(GatewayMetric::AnswersWithLimit),
            LimitNotice::Unreadable => self.metrics.increment(GatewayMetric::UnreadableLimits),
        }
        match notices.rest {
            RestNotice::None => {}
            RestNotice::For(_) => self.metrics.increment(GatewayMetric::AnswersWithRest),
            RestNotice::Unreadable => self.metrics.increment(GatewayMetric::UnreadableRests),
        }
        match notices.leaving {
            LeavingNotice::Staying => {}
            LeavingNotice::Leaving => self.metrics.increment(GatewayMetric::AnswersOfLeaving),
            LeavingNotice::Unreadable => self.metrics.increment(GatewayMetric::UnreadableLeaving),
        }
        match notices.load {
            LoadNotice::None => {}
            LoadNotice::Stated(_) => self.metrics.increment(GatewayMetric::AnswersWithLoad),
            LoadNotice::Unreadable => self.metrics.increment(GatewayMetric::UnreadableLoads),
        }
        let now = self.now();
        self.gateway().record_load(now, incarnation, notices);
        if notices.is_unreadable() {
            self.requests.unreadable_notice(now, incarnation, notices);
        }
        if self.gateway().record_leaving(now, incarnation, notices) {
            info!(self.logger, "backend server says that it leaves"; "server" => %incarnation);
        }
        if self.gateway().record_rest(now, incarnation, notices) {
            warn!(self.logger, "backend server asks for rest"; "server" => %incarnation,
                "rest" => ?notices.rest);
        }
        let change = self
            .gateway()
            .record_limit(now, incarnation, sent_at, notices);
        if change != LimitChange::Unchanged {
            self.limit_reports.notify_one();
        }
        self.log_limit_change(incarnation, change);
    }

    /// Logs how the limit of a server changed.
    pub(super) fn log_limit_change(&self, incarnation: &ServerIncarnation, change: LimitChange) {
        match change {
            LimitChange::Unchanged => {}
            LimitChange::Named(rate_per_s) => {
                warn!(self.logger, "backend server names a rate limit";
                    "server" => %incarnation, "rate_per_s" => rate_per_s);
            }
            LimitChange::Lifted => {
                info!(self.logger, "backend server names no rate limit any more";
                    "server" => %incarnation);
            }
        }
    }

    pub(super) fn now(&self) -> MonoTime {
        self.clock.now()
    }
}
